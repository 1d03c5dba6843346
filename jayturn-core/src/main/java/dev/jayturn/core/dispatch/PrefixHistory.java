package dev.jayturn.core.dispatch;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The prompt parts that this instance has sent to one upstream and that are assumed to be cached
 * there. Beyond its capacity in tokens it evicts the least recently used parts.
 */
final class PrefixHistory {
    private final Map<String, Long> parts = new LinkedHashMap<>(64, 0.75f, true);
    private final long capacityTokens;
    private long tokens;

    PrefixHistory(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /** Returns the number of leading prompt tokens that were sent before. */
    long sentPrefixTokens(RequestProfile profile) {
        long sent = 0;
        for (PromptPart part : profile.parts()) {
            if (!parts.containsKey(part.id())) {
                break;
            }
            sent += part.tokens();
        }
        return Math.min(sent, profile.promptTokens());
    }

    void add(RequestProfile profile) {
        for (PromptPart part : profile.parts()) {
            Long previous = parts.put(part.id(), part.tokens());
            tokens += part.tokens() - (previous == null ? 0 : previous);
        }
        Iterator<Long> oldest = parts.values().iterator();
        while (tokens > capacityTokens && oldest.hasNext()) {
            tokens -= oldest.next();
            oldest.remove();
        }
    }
}
