package dev.jayturn.core.dispatch;

import java.util.List;

/**
 * The size of a request and the prompt parts that it may share with others.
 *
 * @param promptTokens 0 for a plain service, which is one without a model engine
 * @param maxOutputTokens limit of the tokens in the answer
 * @param parts parts of the prompt, in order; the last one belongs to this request or its session
 *     alone
 */
public record RequestProfile(long promptTokens, long maxOutputTokens, List<PromptPart> parts) {
    /** The profile of a request to a plain service. */
    public static final RequestProfile PLAIN = new RequestProfile(0, 0, List.of());

    /** Returns the largest number of tokens that the request can consume. */
    public long maxTokens() {
        return promptTokens + maxOutputTokens;
    }

    /**
     * Returns an upper bound of the tokens of the prompt and of the output so far.
     *
     * @param output upper bound of the output tokens delivered, whatever was asked for
     */
    public long maxDeliveredTokens(long output) {
        return promptTokens + Math.min(maxOutputTokens, output);
    }

    /**
     * Returns the id of the last part that other requests may share, or of the only part; empty
     * without parts. Requests with equal keys should go to the same upstream.
     */
    public String affinityKey() {
        if (parts.isEmpty()) {
            return "";
        }
        return parts.get(Math.max(0, parts.size() - 2)).id();
    }

    /** Returns the ids of all parts except the last one. */
    public List<String> sharedPartIds() {
        return parts.stream().limit(Math.max(0, parts.size() - 1)).map(PromptPart::id).toList();
    }

    /** Returns the ids of all parts. */
    public List<String> partIds() {
        return parts.stream().map(PromptPart::id).toList();
    }

    /** Returns the id of the last part, which belongs to the request or its session; else none. */
    public List<String> ownPartIds() {
        return parts.isEmpty() ? List.of() : List.of(parts.get(parts.size() - 1).id());
    }

    /** Returns the tokens of all parts except the last one. */
    public long sharedPrefixTokens() {
        long tokens = 0;
        for (int i = 0; i < parts.size() - 1; i++) {
            tokens += parts.get(i).tokens();
        }
        return tokens;
    }
}
