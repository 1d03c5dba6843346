package dev.jayturn.core.loadview;

import com.google.common.hash.Hashing;
import dev.jayturn.core.dispatch.UpstreamLoad;
import dev.jayturn.core.dispatch.UpstreamRegistry;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;

/**
 * The upstreams that accept requests, divided into groups of bounded size by a hash, so that the
 * sums of a group fit into one message and many instances share the work of adding up.
 */
final class UpstreamGroups {
    private static final int MAX_AVERAGE_SIZE = 96;

    private final List<Group> groups;

    /**
     * The upstreams of a group in the order of their keys.
     *
     * @param list hash of the keys, never 0
     */
    record Group(int list, int[] keys, List<UpstreamLoad> upstreams) {}

    private UpstreamGroups(List<Group> groups) {
        this.groups = groups;
    }

    static UpstreamGroups of(UpstreamRegistry registry) {
        int parts = Integer.highestOneBit(Math.max(1, registry.all().size() / MAX_AVERAGE_SIZE));
        if (parts * MAX_AVERAGE_SIZE < registry.all().size()) {
            parts *= 2;
        }
        List<TreeMap<Integer, UpstreamLoad>> sorted = new ArrayList<>();
        for (int i = 0; i < parts; i++) {
            sorted.add(new TreeMap<>());
        }
        for (UpstreamLoad upstream : registry.all()) {
            int key = keyOf(upstream);
            sorted.get(key & (parts - 1)).put(key, upstream);
        }
        List<Group> groups = new ArrayList<>();
        for (TreeMap<Integer, UpstreamLoad> group : sorted) {
            int[] keys = group.keySet().stream().mapToInt(Integer::intValue).toArray();
            int list = Arrays.hashCode(keys);
            groups.add(new Group(list == 0 ? 1 : list, keys, List.copyOf(group.values())));
        }
        return new UpstreamGroups(groups);
    }

    private static int keyOf(UpstreamLoad upstream) {
        return Hashing.murmur3_32_fixed()
                .hashString(upstream.heartbeat().incarnationId(), StandardCharsets.UTF_8)
                .asInt();
    }

    /** Returns the number of groups, a power of two. */
    int parts() {
        return groups.size();
    }

    Group group(int number) {
        return groups.get(number);
    }
}
