package dev.jayturn.core.quarantine;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The ends of upstreams by the suspects that they ran: requests, by their fingerprints, and parts
 * of prompts. Tables of several instances are merged in any order and as often as wanted: ends are
 * only added, and a cleared end stays cleared.
 */
public final class EvidenceTable {
    /** Uncleared ends after which a suspect is put in quarantine. */
    public static final int QUARANTINE_ENDS = 3;

    /**
     * The same for a part, if less is known of some of the ends. One more end, since whatever
     * waited or had just begun to run at an upstream that ends is blamed for it.
     */
    public static final int CIRCUMSTANTIAL_QUARANTINE_ENDS = QUARANTINE_ENDS + 1;

    /**
     * A part that is in quarantine by circumstantial ends explains at least one of so many of all
     * ends in its time. When many upstreams end by themselves, a rare part is at a few of them.
     */
    private static final int MAX_ENDS_PER_EXPLAINED = 3;

    /**
     * A part is in quarantine by circumstantial ends only if its requests have been sent for so
     * many times as long as one of them had waited when its upstream ended.
     */
    private static final int WAITS_UNTIL_COMPLETE = 2;

    /** Time after the last end for which a suspect stays in quarantine. */
    public static final long QUARANTINE_MILLIS = 600_000;

    /**
     * Upstreams that end within this time count once, since they may have lost power together,
     * unless the request was sent to one after the other had ended.
     */
    private static final long COMMON_CAUSE_MILLIS = 300;

    /** Ends older than this are dropped. */
    private static final long RETENTION_MILLIS = 2 * QUARANTINE_MILLIS;

    private static final int MAX_SUSPECTS = 1_000;
    private static final int MAX_ENDS_OF_A_SUSPECT = 16;

    /** The ends by suspect and by upstream; suspects with the newest ends are the last ones. */
    private final Map<String, Map<String, End>> endsBySuspect = new LinkedHashMap<>();

    /** Independent ends by suspect, counted when they are asked for. */
    private final Map<String, Integer> independentEnds = new HashMap<>();

    /** Sorted times of all ends by upstream; empty if they have to be collected again. */
    private final Map<String, long[]> endTimesByUpstream = new HashMap<>();

    private static final class End {
        final long millis;
        final String request;
        final long sentMillis;
        final boolean circumstantial;
        boolean cleared;

        End(long millis, boolean cleared, String request, long sentMillis, boolean circumstantial) {
            this.millis = millis;
            this.cleared = cleared;
            this.request = request;
            this.sentMillis = sentMillis;
            this.circumstantial = circumstantial;
        }
    }

    /**
     * Adds the end of an upstream; returns whether it was not known.
     *
     * @param request fingerprint of the request that it ran, which may be the suspect itself
     * @param sentMillis time when the request was sent to the upstream
     */
    public boolean addEnd(
            String suspect, String upstream, long millis, String request, long sentMillis) {
        return add(suspect, upstream, new End(millis, false, request, sentMillis, false));
    }

    /**
     * Adds the end of an upstream that is not known to have begun its response to a prompt with the
     * part, or had sent events; returns whether it was not known.
     */
    public boolean addCircumstantialEnd(
            String part, String upstream, long millis, String request, long sentMillis) {
        return add(part, upstream, new End(millis, false, request, sentMillis, true));
    }

    private boolean add(String suspect, String upstream, End end) {
        Map<String, End> ends = endsOf(suspect);
        End known = ends.get(upstream);
        if (known != null && !(known.circumstantial && !end.circumstantial)) {
            return false;
        }
        endsBySuspect.remove(suspect);
        Map<String, End> changed = new LinkedHashMap<>(ends);
        changed.put(upstream, end);
        endsBySuspect.put(suspect, changed);
        onChanged(suspect);
        if (changed.size() > MAX_ENDS_OF_A_SUSPECT) {
            removeLeastUseful(changed);
        }
        if (endsBySuspect.size() > MAX_SUSPECTS) {
            evictSuspect();
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

    /** Removes the suspect with the oldest ends, if possible one that is not in quarantine. */
    private void evictSuspect() {
        String evicted = endsBySuspect.keySet().iterator().next();
        for (String suspect : endsBySuspect.keySet()) {
            if (!isCondemned(suspect)) {
                evicted = suspect;
                break;
            }
        }
        endsBySuspect.remove(evicted);
        onChanged(evicted);
    }

    private void onChanged(String suspect) {
        independentEnds.remove(suspect);
        endTimesByUpstream.clear();
    }

    /** Clears the ends of a suspect up to a time; returns whether one was not cleared before. */
    public boolean clearUntil(String suspect, long millis) {
        boolean changed = false;
        for (End end : endsOf(suspect).values()) {
            changed |= !end.cleared && end.millis <= millis;
            end.cleared |= end.millis <= millis;
        }
        onCleared(suspect);
        return changed;
    }

    /** Clears the circumstantial ends of a part; returns whether one was not cleared before. */
    public boolean clearCircumstantial(String part) {
        boolean changed = false;
        for (End end : endsOf(part).values()) {
            changed |= !end.cleared && end.circumstantial;
            end.cleared |= end.circumstantial;
        }
        onCleared(part);
        return changed;
    }

    /** Cleared ends still count among all ends. */
    private void onCleared(String suspect) {
        independentEnds.remove(suspect);
    }

    /** Adds the evidence of another instance; returns the suspects with new evidence. */
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

    private boolean mergeEnd(String suspect, UpstreamEnd end, long nowMillis) {
        if (end.ageMillis() >= RETENTION_MILLIS) {
            return false;
        }
        End known = endsOf(suspect).get(end.upstream());
        if (known == null || (known.circumstantial && !end.circumstantial())) {
            return add(
                    suspect,
                    end.upstream(),
                    new End(
                            nowMillis - end.ageMillis(),
                            end.cleared(),
                            end.request(),
                            nowMillis - end.sentAgeMillis(),
                            end.circumstantial()));
        }
        // What cleared a circumstantial end need not clear a certain one.
        boolean clears = end.cleared() && (known.circumstantial || !end.circumstantial());
        boolean newlyCleared = clears && !known.cleared;
        known.cleared |= clears;
        onCleared(suspect);
        return newlyCleared;
    }

    /** Returns whether a suspect explains enough ends to be put in quarantine. */
    public boolean isCondemned(String suspect) {
        int count = countIndependentEnds(suspect);
        return isEnough(suspect, count)
                && !isExplainedByARequest(suspect)
                && !isBystander(suspect, count);
    }

    private boolean isEnough(String suspect, int count) {
        if (count < QUARANTINE_ENDS) {
            return false;
        }
        List<End> certain = new ArrayList<>(unclearedEnds(suspect));
        certain.removeIf(end -> end.circumstantial);
        return countIndependent(certain) >= QUARANTINE_ENDS
                || (count >= CIRCUMSTANTIAL_QUARANTINE_ENDS
                        && hadTimeToComplete(suspect)
                        && explainsItsShare(suspect));
    }

    /**
     * Returns whether a sound part would have had a complete response by its last end. Behind long
     * queues the requests with a new part wait at many upstreams and end with any of them.
     */
    private boolean hadTimeToComplete(String suspect) {
        long firstSent = Long.MAX_VALUE;
        long lastEnd = Long.MIN_VALUE;
        long longestWait = 0;
        for (End end : unclearedEnds(suspect)) {
            firstSent = Math.min(firstSent, end.sentMillis);
            lastEnd = Math.max(lastEnd, end.millis);
            longestWait = Math.max(longestWait, end.millis - end.sentMillis);
        }
        return lastEnd - firstSent >= WAITS_UNTIL_COMPLETE * longestWait;
    }

    /** Returns whether a suspect explains its share of all ends since its first one. */
    private boolean explainsItsShare(String suspect) {
        List<End> own = unclearedEnds(suspect);
        long first = own.stream().mapToLong(end -> end.sentMillis).min().orElse(0);
        long last = own.get(own.size() - 1).millis;
        int remaining = own.size() * MAX_ENDS_PER_EXPLAINED;
        for (long[] millis : endTimesByUpstream().values()) {
            if (isAnyBetween(millis, first, last) && --remaining < 0) {
                return false;
            }
        }
        return true;
    }

    private static boolean isAnyBetween(long[] sorted, long first, long last) {
        int index = Arrays.binarySearch(sorted, first);
        int next = index < 0 ? -index - 1 : index;
        return next < sorted.length && sorted[next] <= last;
    }

    private Map<String, long[]> endTimesByUpstream() {
        if (endTimesByUpstream.isEmpty()) {
            Map<String, List<Long>> times = new HashMap<>();
            for (Map<String, End> ends : endsBySuspect.values()) {
                ends.forEach(
                        (upstream, end) ->
                                times.computeIfAbsent(upstream, key -> new ArrayList<>())
                                        .add(end.millis));
            }
            times.forEach(
                    (upstream, millis) ->
                            endTimesByUpstream.put(
                                    upstream,
                                    millis.stream().mapToLong(Long::longValue).sorted().toArray()));
        }
        return endTimesByUpstream;
    }

    private boolean isRequest(String suspect) {
        for (End end : endsOf(suspect).values()) {
            if (!end.request.equals(suspect)) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether one request, which is itself suspect, explains all ends of a part. */
    private boolean isExplainedByARequest(String part) {
        Set<String> upstreams = unclearedUpstreams(part);
        if (isRequest(part)) {
            return false;
        }
        for (String other : endsBySuspect.keySet()) {
            if (isRequest(other) && explainsAll(other, upstreams)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether another suspect explains all ends of this one, and more. */
    private boolean isBystander(String suspect, int count) {
        Set<String> upstreams = unclearedUpstreams(suspect);
        for (String other : endsBySuspect.keySet()) {
            int others = countIndependentEnds(other);
            if (others > count && explainsAll(other, upstreams) && isEnough(other, others)) {
                return true;
            }
        }
        return false;
    }

    private boolean explainsAll(String suspect, Set<String> upstreams) {
        Map<String, End> ends = endsOf(suspect);
        for (String upstream : upstreams) {
            End end = ends.get(upstream);
            if (end == null || end.cleared) {
                return false;
            }
        }
        return true;
    }

    /** Returns the number of uncleared ends that cannot have a common cause. */
    public int countIndependentEnds(String suspect) {
        Integer known = independentEnds.get(suspect);
        if (known != null) {
            return known;
        }
        int count = countIndependent(unclearedEnds(suspect));
        if (endsBySuspect.containsKey(suspect)) {
            independentEnds.put(suspect, count);
        }
        return count;
    }

    private static int countIndependent(List<End> ends) {
        int count = 0;
        long previous = Long.MIN_VALUE / 2;
        for (End end : ends) {
            if (end.millis - previous >= COMMON_CAUSE_MILLIS || end.sentMillis >= previous) {
                count++;
                previous = end.millis;
            }
        }
        return count;
    }

    private Map<String, End> endsOf(String suspect) {
        return endsBySuspect.getOrDefault(suspect, Map.of());
    }

    private List<End> unclearedEnds(String suspect) {
        List<End> ends = new ArrayList<>();
        for (End end : endsOf(suspect).values()) {
            if (!end.cleared) {
                ends.add(end);
            }
        }
        ends.sort(Comparator.comparingLong(end -> end.millis));
        return ends;
    }

    private Set<String> unclearedUpstreams(String suspect) {
        Set<String> upstreams = new HashSet<>();
        endsOf(suspect)
                .forEach(
                        (upstream, end) -> {
                            if (!end.cleared) {
                                upstreams.add(upstream);
                            }
                        });
        return upstreams;
    }

    /** Returns the remaining time of a suspect in quarantine; 0 if it is not in quarantine. */
    public long remainingQuarantineMillis(String suspect, long nowMillis) {
        if (!isCondemned(suspect)) {
            return 0;
        }
        List<End> ends = unclearedEnds(suspect);
        return Math.max(0, ends.get(ends.size() - 1).millis + QUARANTINE_MILLIS - nowMillis);
    }

    /** Returns whether there is evidence on anything. */
    public boolean isEmpty() {
        return endsBySuspect.isEmpty();
    }

    /** Returns the suspects that explain enough ends. */
    public Set<String> condemned() {
        Set<String> suspects = new HashSet<>();
        for (String suspect : endsBySuspect.keySet()) {
            if (isCondemned(suspect)) {
                suspects.add(suspect);
            }
        }
        return suspects;
    }

    /**
     * Returns the suspects with uncleared ends: the condemned ones, which others may not have seen,
     * before those that are mostly bystanders, and of these the ones with the newest ends first.
     */
    public List<String> suspects() {
        List<String> suspects = new ArrayList<>();
        for (String suspect : endsBySuspect.keySet()) {
            if (!unclearedEnds(suspect).isEmpty()) {
                suspects.add(0, suspect);
            }
        }
        Set<String> condemned = condemned();
        suspects.sort(Comparator.comparing(suspect -> !condemned.contains(suspect)));
        return suspects;
    }

    /** Returns the evidence on some suspects, for another instance. */
    public List<PartEvidence> evidence(Collection<String> suspects, long nowMillis) {
        List<PartEvidence> evidence = new ArrayList<>();
        for (String suspect : suspects) {
            List<UpstreamEnd> ends = new ArrayList<>();
            endsBySuspect
                    .getOrDefault(suspect, Map.of())
                    .forEach(
                            (upstream, end) ->
                                    ends.add(
                                            new UpstreamEnd(
                                                    upstream,
                                                    nowMillis - end.millis,
                                                    end.cleared,
                                                    end.request,
                                                    nowMillis - end.sentMillis,
                                                    end.circumstantial)));
            if (!ends.isEmpty()) {
                evidence.add(new PartEvidence(suspect, ends));
            }
        }
        return evidence;
    }

    /** Drops ends that are too old to matter. */
    public void removeExpired(long nowMillis) {
        independentEnds.clear();
        endTimesByUpstream.clear();
        Iterator<Map<String, End>> all = endsBySuspect.values().iterator();
        while (all.hasNext()) {
            Map<String, End> ends = all.next();
            ends.values().removeIf(end -> nowMillis - end.millis >= RETENTION_MILLIS);
            if (ends.isEmpty()) {
                all.remove();
            }
        }
    }
}
