package dev.jayturn.lab.engine;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** The answer that a prompt must yield, so that every caller can check its own. */
public final class ExpectedAnswers {
    private static final HashFunction HASH = Hashing.murmur3_128();
    private static final int MIN_TOKENS = 8;
    private static final int LENGTH_VARIANTS = 56;

    private ExpectedAnswers() {}

    /** Returns the number of tokens of the answer. */
    public static int tokenCount(String prompt, int maxTokens) {
        int natural = MIN_TOKENS + (int) Long.remainderUnsigned(seed(prompt), LENGTH_VARIANTS);
        return Math.min(maxTokens, natural);
    }

    /** Returns one token of the answer, with its trailing space. */
    public static String tokenText(long seed, int index) {
        long mixed = HASH.newHasher().putLong(seed).putInt(index).hash().asLong();
        return "t" + Long.toString(Long.remainderUnsigned(mixed, 46_656), 36) + " ";
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

    /** Returns the number that an answer is made from. */
    public static long seed(String prompt) {
        return HASH.hashString(prompt, StandardCharsets.UTF_8).asLong();
    }

    /** Returns the tokens of a prompt: one for four characters, rounded up. */
    public static int promptTokenCount(String prompt) {
        return (prompt.length() + 3) / 4;
    }
}
