package dev.jayturn.lab.engine;

import org.jspecify.annotations.Nullable;

/** One generation at an engine. */
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

    /** Told of tokens as they are produced. */
    public interface Listener {
        /** A token was produced; the last one ends the sequence. */
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

    /** Returns the id that the engine knows the sequence by. */
    public String id() {
        return id;
    }

    /** Returns the number of tokens of the whole answer. */
    public int tokenCount() {
        return tokenCount;
    }

    /** Returns the tokens produced so far. */
    public int producedTokens() {
        return producedTokens;
    }

    /** Returns the tokens of the prompt. */
    public int promptTokenCount() {
        return promptTokenCount;
    }

    /** Returns a token of the answer. */
    public String tokenText(int index) {
        return ExpectedAnswers.tokenText(seed, index);
    }
}
