package dev.jayturn.lab.engine;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A bounded cache of prompt blocks, each known by the hash of the prompt up to its end. */
final class PrefixCache {
    /** Characters in a block. */
    static final int BLOCK_CHARS = 64;

    private final Map<Long, Boolean> blocks;

    PrefixCache(int capacity) {
        blocks =
                new LinkedHashMap<>(16, 0.75f, true) {
                    private static final long serialVersionUID = 1L;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                        return size() > capacity;
                    }
                };
    }

    /** Returns how many characters at the prompt's start were cached, and caches the rest. */
    int matchAndAdd(String prompt) {
        int cached = 0;
        boolean hit = true;
        long hash = 0;
        for (int end = BLOCK_CHARS; end <= prompt.length(); end += BLOCK_CHARS) {
            String block = prompt.substring(end - BLOCK_CHARS, end);
            hash =
                    Hashing.murmur3_128()
                            .newHasher()
                            .putLong(hash)
                            .putString(block, StandardCharsets.UTF_8)
                            .hash()
                            .asLong();
            hit = hit && blocks.get(hash) != null;
            cached += hit ? BLOCK_CHARS : 0;
            blocks.put(hash, Boolean.TRUE);
        }
        return cached;
    }
}
