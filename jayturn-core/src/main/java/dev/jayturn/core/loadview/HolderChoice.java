package dev.jayturn.core.loadview;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Chooses the holder of each group and round among the live instances by rendezvous hashing, so
 * that all instances take turns, and lists that differ by an instance agree on most rounds.
 */
final class HolderChoice {
    private final List<String> instances;
    private final long[] hashes;

    HolderChoice(List<String> instances) {
        this.instances = List.copyOf(instances);
        this.hashes = this.instances.stream().mapToLong(HolderChoice::hash).toArray();
    }

    int size() {
        return hashes.length;
    }

    /** Returns the address of the holder; there has to be an instance. */
    String holder(int group, long round) {
        long turn = mix(round * 0x9e3779b97f4a7c15L + group);
        int best = 0;
        long highest = Long.MIN_VALUE;
        for (int i = 0; i < hashes.length; i++) {
            long weight = mix(hashes[i] ^ turn);
            if (weight > highest) {
                highest = weight;
                best = i;
            }
        }
        return instances.get(best);
    }

    private static long hash(String address) {
        return Hashing.murmur3_128().hashString(address, StandardCharsets.UTF_8).asLong();
    }

    /** Mixes the bits like the generator SplitMix64 (Steele, Lea and Flood 2014). */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
