package dev.jayturn.lab.engine;

import org.jspecify.annotations.Nullable;

/** The generation of one answer by an engine. */
public final class Sequence {
    final String id;
    final String prompt;
    final long seed;
    final int promptTokenCount;
    final int tokenCount;
    final int priority;
    int producedTokens;
    boolean ended;
    @Nullable Listener listener;

    /** Receives the tokens of a sequence as they are generated. */
    public interface Listener {
        /** Called for each token that is generated; {@code last} marks the end of the sequence. */
        void onToken(Sequence sequence, int index, boolean last);
    }

    Sequence(String id, String prompt, int maxTokens, int priority, Listener listener) {
        this.id = id;
        this.prompt = prompt;
        this.seed = ExpectedAnswers.seed(prompt);
        this.promptTokenCount = ExpectedAnswers.promptTokenCount(prompt);
        this.tokenCount = ExpectedAnswers.tokenCount(prompt, maxTokens);
        this.priority = priority;
        this.listener = listener;
    }

    /** Returns the sequence's request id. */
    public String id() {
        return id;
    }

    /** Returns the number of tokens in the complete answer. */
    public int tokenCount() {
        return tokenCount;
    }

    /** Returns the number of tokens generated so far. */
    public int producedTokens() {
        return producedTokens;
    }

    /** Returns the number of tokens in the prompt. */
    public int promptTokenCount() {
        return promptTokenCount;
    }

    /** Returns the text of one token of the answer. */
    public String tokenText(int index) {
        return ExpectedAnswers.tokenText(seed, index);
    }
}
