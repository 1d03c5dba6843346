package dev.jayturn.core.configuration;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * The regions in which requests may be served.
 *
 * @param isUnbounded whether every region is allowed, also one that is not known
 * @param names names of the regions; empty if every one is allowed, or if none is
 */
public record RegionSet(boolean isUnbounded, Set<String> names) {
    /** Every region. */
    public static final RegionSet ALL = new RegionSet(true, Set.of());

    /** Creates a set of regions. */
    public RegionSet {
        names = Set.copyOf(names);
    }

    /** Returns the set of the regions named. */
    public static RegionSet of(Collection<String> names) {
        return new RegionSet(false, Set.copyOf(names));
    }

    /** Returns whether a region is in the set. */
    public boolean contains(String region) {
        return isUnbounded || names.contains(region);
    }

    /** Returns whether no region is in the set. */
    public boolean isEmpty() {
        return !isUnbounded && names.isEmpty();
    }

    /** Returns the regions that are in both sets. */
    public RegionSet intersect(RegionSet other) {
        if (isUnbounded) {
            return other;
        }
        if (other.isUnbounded) {
            return this;
        }
        Set<String> common = new HashSet<>(names);
        common.retainAll(other.names);
        return of(common);
    }
}
