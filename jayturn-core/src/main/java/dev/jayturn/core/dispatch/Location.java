package dev.jayturn.core.dispatch;

import dev.jayturn.core.configuration.RegionSet;
import java.util.Map;

/**
 * The location of an instance.
 *
 * @param regions region of each data centre; a data centre without an entry is a region of its own
 */
public record Location(String dataCentre, Map<String, String> regions) {
    /** Returns whether another data centre is in the region of this one. */
    public boolean isSameRegion(String other) {
        String region = regions.getOrDefault(dataCentre, dataCentre);
        return region.equals(regions.getOrDefault(other, other));
    }

    /**
     * Returns whether a data centre is in one of the regions. One without an entry is in none of a
     * bounded set: where it is can only be guessed.
     */
    public boolean isIn(RegionSet allowed, String other) {
        String region = regions.get(other);
        return region == null ? allowed.isUnbounded() : allowed.contains(region);
    }
}
