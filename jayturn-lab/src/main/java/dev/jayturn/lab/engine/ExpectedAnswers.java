package dev.jayturn.lab.engine;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Computes the answer to a prompt, so that each caller can verify the answer it receives. */
public final class ExpectedAnswers {
    private static final HashFunction HASH = Hashing.murmur3_128();
    private static final int MIN_TOKENS = 8;
    private static final int LENGTH_VARIANTS = 56;

    /** 36³, so that a token has at most three base-36 digits. */
    private static final int TOKEN_VARIANTS = 46_656;

    private ExpectedAnswers() {}

    /** Returns the number of tokens in the answer. */
    public static int tokenCount(String prompt, int maxTokens) {
        int uncapped = MIN_TOKENS + (int) Long.remainderUnsigned(seed(prompt), LENGTH_VARIANTS);
        return Math.min(maxTokens, uncapped);
    }

    /** Returns one token of the answer, with its trailing space. */
    public static String tokenText(long seed, int index) {
        long mixed = HASH.newHasher().putLong(seed).putInt(index).hash().asLong();
        return "t" + Long.toString(Long.remainderUnsigned(mixed, TOKEN_VARIANTS), 36) + " ";
    }

    /** Returns the whole answer. */
    public static String fullText(String prompt, int maxTokens) {
        long seed = seed(prompt);
        StringBuilder text = new StringBuilder();
        int length = tokenCount(prompt, maxTokens);
        for (int i = 0; i < length; i++) {
            text.append(tokenText(seed, i));
        }
        return text.toString();
    }

    /** Returns the hash of a prompt, from which the tokens of its answer are derived. */
    public static long seed(String prompt) {
        return HASH.hashString(prompt, StandardCharsets.UTF_8).asLong();
    }

    /** Returns the number of tokens in a prompt: one per four characters, rounded up. */
    public static int promptTokenCount(String prompt) {
        return (prompt.length() + 3) / 4;
    }
}
