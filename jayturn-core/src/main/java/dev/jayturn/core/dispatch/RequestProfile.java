package dev.jayturn.core.dispatch;

import java.util.List;

/**
 * What a request asks of an upstream.
 *
 * @param promptTokens 0 for plain services
 * @param maxOutputTokens most tokens that the answer may hold
 * @param parts the prompt's parts; the last belongs to the request or its session alone
 */
public record RequestProfile(long promptTokens, long maxOutputTokens, List<PromptPart> parts) {
    /** A request to a plain service. */
    public static final RequestProfile PLAIN = new RequestProfile(0, 0, List.of());

    /** Returns the tokens that the request consumes at its most. */
    public long maxTokens() {
        return promptTokens + maxOutputTokens;
    }

    /** Returns the id by which requests with the same shared parts are kept together. */
    public String affinityKey() {
        if (parts.isEmpty()) {
            return "";
        }
        return parts.get(Math.max(0, parts.size() - 2)).id();
    }

    /** Returns the tokens of all parts but the last. */
    public long sharedPrefixTokens() {
        long tokens = 0;
        for (int i = 0; i < parts.size() - 1; i++) {
            tokens += parts.get(i).tokens();
        }
        return tokens;
    }
}
