package dev.jayturn.core.dispatch;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Prompt parts that this instance has sent to one upstream, the least recently used first. */
final class PrefixHistory {
    private final Map<String, Long> parts = new LinkedHashMap<>(64, 0.75f, true);
    private final long capacityTokens;
    private long tokens;

    PrefixHistory(long capacity) {
        this.capacityTokens = capacity;
    }

    /** Returns how many leading tokens of a prompt were sent before. */
    long sentPrefixTokens(RequestProfile work) {
        long held = 0;
        for (PromptPart part : work.parts()) {
            if (!parts.containsKey(part.id())) {
                break;
            }
            held += part.tokens();
        }
        return Math.min(held, work.promptTokens());
    }

    void add(RequestProfile work) {
        for (PromptPart part : work.parts()) {
            Long before = parts.put(part.id(), part.tokens());
            tokens += part.tokens() - (before == null ? 0 : before);
        }
        Iterator<Long> oldest = parts.values().iterator();
        while (tokens > capacityTokens && oldest.hasNext()) {
            tokens -= oldest.next();
            oldest.remove();
        }
    }
}
