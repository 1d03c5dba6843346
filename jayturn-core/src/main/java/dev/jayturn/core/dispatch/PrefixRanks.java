package dev.jayturn.core.dispatch;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * The order in which all instances prefer the upstreams for a shared prefix, by rendezvous hashing
 * (Thaler and Ravishankar 1998), so that they agree without communication.
 */
final class PrefixRanks {
    private final long[] weights;
    private final long[] sorted;

    PrefixRanks(String affinity, List<UpstreamLoad> upstreams) {
        weights = new long[affinity.isEmpty() ? 0 : upstreams.size()];
        for (int i = 0; i < weights.length; i++) {
            weights[i] =
                    Hashing.murmur3_128()
                            .newHasher()
                            .putString(affinity, StandardCharsets.UTF_8)
                            .putString(upstreams.get(i).heartbeat().id(), StandardCharsets.UTF_8)
                            .hash()
                            .asLong();
        }
        sorted = weights.clone();
        Arrays.sort(sorted);
    }

    /** Returns whether there is a prefix. */
    boolean hasPrefix() {
        return weights.length > 0;
    }

    /** Returns the rank of an upstream, 0 for the preferred one; there has to be a prefix. */
    int rank(int upstream) {
        return sorted.length - 1 - Arrays.binarySearch(sorted, weights[upstream]);
    }
}
