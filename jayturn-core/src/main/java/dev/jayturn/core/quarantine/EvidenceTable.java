package dev.jayturn.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The ends of upstreams by the prompt parts that they had begun to respond to. Tables of several
 * instances are merged in any order and as often as wanted: ends are only added, and a cleared end
 * stays cleared.
 */
public final class EvidenceTable {
    /** Uncleared ends after which a part is put in quarantine. */
    public static final int QUARANTINE_ENDS = 3;

    /** Time after the last end for which a part stays in quarantine. */
    public static final long QUARANTINE_MILLIS = 600_000;

    /** Upstreams that end within this time count once, since they may have lost power together. */
    private static final long COMMON_CAUSE_MILLIS = 300;

    /** Ends older than this are dropped. */
    private static final long RETENTION_MILLIS = 2 * QUARANTINE_MILLIS;

    private static final int MAX_PARTS = 1_000;
    private static final int MAX_ENDS_OF_A_PART = 16;

    /** The ends by part and by upstream; parts with the newest ends are the last ones. */
    private final Map<String, Map<String, End>> endsByPart = new LinkedHashMap<>();

    private static final class End {
        final long millis;
        boolean cleared;

        End(long millis, boolean cleared) {
            this.millis = millis;
            this.cleared = cleared;
        }
    }

    /** Adds the end of an upstream; returns whether it was not known. */
    public boolean addEnd(String part, String upstream, long millis) {
        return add(part, upstream, new End(millis, false));
    }

    private boolean add(String part, String upstream, End end) {
        Map<String, End> ends = endsByPart.getOrDefault(part, Map.of());
        if (ends.containsKey(upstream)) {
            return false;
        }
        endsByPart.remove(part);
        Map<String, End> changed = new LinkedHashMap<>(ends);
        changed.put(upstream, end);
        endsByPart.put(part, changed);
        if (changed.size() > MAX_ENDS_OF_A_PART) {
            removeLeastUseful(changed);
        }
        if (endsByPart.size() > MAX_PARTS) {
            evictPart();
        }
        return true;
    }

    private static void removeLeastUseful(Map<String, End> ends) {
        String oldest = "";
        for (Map.Entry<String, End> entry : ends.entrySet()) {
            End end = entry.getValue();
            End least = ends.get(oldest);
            boolean earlier = least != null && end.millis < least.millis;
            boolean lessUseful =
                    least == null
                            || (end.cleared && !least.cleared)
                            || (end.cleared == least.cleared && earlier);
            oldest = lessUseful ? entry.getKey() : oldest;
        }
        ends.remove(oldest);
    }

    /** Removes the part with the oldest ends, if possible one that is not in quarantine. */
    private void evictPart() {
        String evicted = endsByPart.keySet().iterator().next();
        for (String part : endsByPart.keySet()) {
            if (!isCondemned(part)) {
                evicted = part;
                break;
            }
        }
        endsByPart.remove(evicted);
    }

    /** Clears the ends of a part up to a time; returns whether one was not cleared before. */
    public boolean clearUntil(String part, long millis) {
        boolean changed = false;
        for (End end : endsByPart.getOrDefault(part, Map.of()).values()) {
            changed |= !end.cleared && end.millis <= millis;
            end.cleared |= end.millis <= millis;
        }
        return changed;
    }

    /** Adds the evidence of another instance; returns the parts with new evidence. */
    public Set<String> merge(EvidenceShare share, long nowMillis) {
        Set<String> changed = new HashSet<>();
        for (PartEvidence evidence : share.parts()) {
            for (UpstreamEnd end : evidence.ends()) {
                if (mergeEnd(evidence.part(), end, nowMillis)) {
                    changed.add(evidence.part());
                }
            }
        }
        return changed;
    }

    private boolean mergeEnd(String part, UpstreamEnd end, long nowMillis) {
        if (end.ageMillis() >= RETENTION_MILLIS) {
            return false;
        }
        End known = endsByPart.getOrDefault(part, Map.of()).get(end.upstream());
        if (known == null) {
            return add(part, end.upstream(), new End(nowMillis - end.ageMillis(), end.cleared()));
        }
        boolean newlyCleared = end.cleared() && !known.cleared;
        known.cleared |= end.cleared();
        return newlyCleared;
    }

    /** Returns whether enough ends of a part are not cleared to put it in quarantine. */
    public boolean isCondemned(String part) {
        return countIndependentEnds(part) >= QUARANTINE_ENDS;
    }

    /** Returns the number of uncleared ends that cannot have a common cause. */
    public int countIndependentEnds(String part) {
        int count = 0;
        long previous = Long.MIN_VALUE / 2;
        for (long millis : unclearedEnds(part)) {
            if (millis - previous >= COMMON_CAUSE_MILLIS) {
                count++;
                previous = millis;
            }
        }
        return count;
    }

    private List<Long> unclearedEnds(String part) {
        List<Long> times = new ArrayList<>();
        for (End end : endsByPart.getOrDefault(part, Map.of()).values()) {
            if (!end.cleared) {
                times.add(end.millis);
            }
        }
        times.sort(Comparator.naturalOrder());
        return times;
    }

    /** Returns the remaining time of a part in quarantine; 0 if it is not in quarantine. */
    public long remainingQuarantineMillis(String part, long nowMillis) {
        if (!isCondemned(part)) {
            return 0;
        }
        List<Long> ends = unclearedEnds(part);
        return Math.max(0, ends.get(ends.size() - 1) + QUARANTINE_MILLIS - nowMillis);
    }

    /** Returns the parts with enough uncleared ends. */
    public Set<String> condemnedParts() {
        Set<String> parts = new HashSet<>();
        for (String part : endsByPart.keySet()) {
            if (isCondemned(part)) {
                parts.add(part);
            }
        }
        return parts;
    }

    /** Returns the parts with uncleared ends, those with the newest ends first. */
    public List<String> suspectParts() {
        List<String> parts = new ArrayList<>();
        for (String part : endsByPart.keySet()) {
            if (!unclearedEnds(part).isEmpty()) {
                parts.add(0, part);
            }
        }
        return parts;
    }

    /** Returns the evidence on some parts, for another instance. */
    public List<PartEvidence> evidence(Collection<String> parts, long nowMillis) {
        List<PartEvidence> evidence = new ArrayList<>();
        for (String part : parts) {
            List<UpstreamEnd> ends = new ArrayList<>();
            endsByPart
                    .getOrDefault(part, Map.of())
                    .forEach(
                            (upstream, end) ->
                                    ends.add(
                                            new UpstreamEnd(
                                                    upstream,
                                                    nowMillis - end.millis,
                                                    end.cleared)));
            if (!ends.isEmpty()) {
                evidence.add(new PartEvidence(part, ends));
            }
        }
        return evidence;
    }

    /** Drops ends that are too old to matter. */
    public void removeExpired(long nowMillis) {
        Iterator<Map<String, End>> all = endsByPart.values().iterator();
        while (all.hasNext()) {
            Map<String, End> ends = all.next();
            ends.values().removeIf(end -> nowMillis - end.millis >= RETENTION_MILLIS);
            if (ends.isEmpty()) {
                all.remove();
            }
        }
    }
}
