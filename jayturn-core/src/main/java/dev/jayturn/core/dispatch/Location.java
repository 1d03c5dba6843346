package dev.jayturn.core.dispatch;

import java.util.Map;

/**
 * Where an instance stands.
 *
 * @param regions region of each data centre
 */
public record Location(String dataCentre, Map<String, String> regions) {
    /** Returns whether another data centre is in the same region. */
    public boolean isSameRegion(String other) {
        String region = regions.getOrDefault(dataCentre, dataCentre);
        return region.equals(regions.getOrDefault(other, other));
    }
}
