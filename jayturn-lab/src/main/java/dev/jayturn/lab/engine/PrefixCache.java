package dev.jayturn.lab.engine;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** An LRU cache of prompt blocks; the key of a block is the hash of the prompt up to its end. */
final class PrefixCache {
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

    /** Returns the number of cached characters at the prompt's start, and caches all its blocks. */
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
