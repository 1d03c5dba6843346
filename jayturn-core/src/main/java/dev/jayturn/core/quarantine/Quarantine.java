package dev.jayturn.core.quarantine;

import dev.jayturn.core.timer.TimerService;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Decides on an entry instance which requests are refused because they make upstreams crash.
 *
 * <p>Answers two patterns. Requests with one part of the prompt in common, otherwise all different,
 * reach all instances; each ends the upstream that begins to respond to it, and with it the
 * responses to sound requests, some of which share its other parts. Or one request comes again and
 * again, on any kind of route, and ends what runs it, at times before there is a response.
 *
 * <p>A request is blamed if an upstream ends soon after it was sent or its response began. A part
 * is blamed with certainty if an upstream ends after the head of a response and before its first
 * event. The head and the first events may be lost with the process that wrote them, so the parts
 * of every blamed request, and of each that waited without a response, are suspect, but those that
 * have had a complete response are bystanders, and more ends are needed. A complete response clears
 * the request and the parts. So what many sound requests share is cleared within moments, and what
 * only crashes upstreams never is.
 */
public final class Quarantine {
    /** After a quarantine has ended, one request with the part is sent in this time. */
    private static final long PROBE_INTERVAL_MILLIS = 10_000;

    /** A request that has run for longer than this does not make an upstream crash. */
    static final long MAX_CRASH_MILLIS = 1_500;

    static final int MAX_COMPLETED_PARTS = 8_192;

    private final TimerService timers;
    private final EvidenceTable table;
    private final QuarantineListener listener;
    private final Map<String, Long> probeMillis = new HashMap<>();

    /** Times of the last complete response by part, the least recent one first. */
    private final Map<String, Long> completedMillis = new LinkedHashMap<>(64, 0.75f, true);

    private Set<String> condemned = new HashSet<>();
    private Set<String> trustedParts = Set.of();
    private Consumer<Collection<String>> sharing = parts -> {};

    public Quarantine(TimerService timers, EvidenceTable table, QuarantineListener listener) {
        this.timers = timers;
        this.table = table;
        this.listener = listener;
    }

    /** Sets the receiver of the suspects on which this instance has found evidence itself. */
    public void setSharing(Consumer<Collection<String>> receiver) {
        sharing = receiver;
    }

    /** Sets the parts and requests that are never refused, whatever the evidence. */
    public void setTrustedParts(Collection<String> parts) {
        trustedParts = Set.copyOf(parts);
    }

    /**
     * Decides whether a request is refused.
     *
     * @param suspects fingerprint of the request, or ids of the parts that other prompts may share
     * @return the time after which a retry may be admitted; 0 if the request is admitted
     */
    public long refusalMillis(List<String> suspects) {
        if (condemned.isEmpty()) {
            return 0;
        }
        long longest = 0;
        for (String suspect : suspects) {
            if (condemned.contains(suspect)) {
                longest = Math.max(longest, refusalMillis(suspect));
            }
        }
        return longest;
    }

    /**
     * Records that a request is sent; after a quarantine has ended, it is the probe of its suspect.
     */
    public void onSent(List<String> suspects) {
        if (!condemned.isEmpty()) {
            long now = timers.nowMillis();
            suspects.stream()
                    .filter(condemned::contains)
                    .forEach(suspect -> probeMillis.put(suspect, now));
        }
    }

    private long refusalMillis(String suspect) {
        if (!table.isCondemned(suspect) || trustedParts.contains(suspect)) {
            return 0;
        }
        long now = timers.nowMillis();
        long quarantine = table.remainingQuarantineMillis(suspect, now);
        Long lastProbe = probeMillis.get(suspect);
        long untilProbe = lastProbe == null ? 0 : lastProbe + PROBE_INTERVAL_MILLIS - now;
        return Math.max(quarantine, untilProbe);
    }

    /** Returns whether there is evidence that a complete response may clear. */
    public boolean hasEvidence() {
        return !table.isEmpty();
    }

    /** Records a complete and successful response. */
    public void onCompleted(List<String> parts) {
        long now = timers.nowMillis();
        Set<String> changed = new HashSet<>();
        for (String part : parts) {
            completedMillis.put(part, now);
            if (completedMillis.size() > MAX_COMPLETED_PARTS) {
                completedMillis.remove(completedMillis.keySet().iterator().next());
            }
            if (table.clearUntil(part, now)) {
                changed.add(part);
            }
        }
        publish(changed);
    }

    /**
     * Records a complete and successful response to a prompt with parts of its own. They are not
     * remembered, since each request has others.
     */
    public void clear(List<String> ownParts) {
        long now = timers.nowMillis();
        Set<String> changed = new HashSet<>(ownParts);
        changed.removeIf(part -> !table.clearUntil(part, now));
        publish(changed);
    }

    /**
     * Records that an upstream ended, or broke the connection, while it ran a request. The request
     * is suspect if it has run for a short time, the parts of its prompt if the response had begun
     * without an event.
     *
     * @return whether another upstream may get the request without a risk that it crashes too
     */
    public boolean onCutOff(CutOff cutOff) {
        boolean isRequestSuspect = cutOff.ranMillis() <= MAX_CRASH_MILLIS;
        List<String> parts = cutOff.beforeAnEvent() ? cutOff.parts() : List.of();
        List<String> suspects =
                new ArrayList<>(cutOff.beforeAnEvent() ? cutOff.allParts() : List.of());
        if (isRequestSuspect) {
            suspects.add(cutOff.request());
        }
        boolean explained = isExplained(cutOff);
        blame(suspects, cutOff.upstream(), cutOff.request(), cutOff.sentMillis());
        // Without a response it is not known how long the request waited before it ran.
        boolean mayHaveCrashed = isRequestSuspect || !cutOff.responseBegun();
        if (mayHaveCrashed && !cutOff.beforeAnEvent()) {
            blameCircumstantially(cutOff, explained);
        }
        return (!isRequestSuspect || isRequestRetryAllowed(cutOff.request()))
                && isRetryAllowed(parts)
                && cutOff.allParts().stream().noneMatch(this::isRepeatedlyBlamed);
    }

    private boolean isExplained(CutOff cutOff) {
        return condemned.contains(cutOff.request())
                || cutOff.allParts().stream().anyMatch(condemned::contains);
    }

    /** Blames the parts that have not had a complete response. */
    private void blameCircumstantially(CutOff cutOff, boolean explained) {
        Set<String> changed = new HashSet<>();
        for (String part : cutOff.allParts()) {
            if ((!explained || condemned.contains(part))
                    && !completedMillis.containsKey(part)
                    && table.addCircumstantialEnd(
                            part,
                            cutOff.upstream(),
                            timers.nowMillis(),
                            cutOff.request(),
                            cutOff.sentMillis())) {
                changed.add(part);
            }
        }
        publish(changed);
    }

    /** Returns whether a part without a complete response is blamed for more than one end. */
    private boolean isRepeatedlyBlamed(String part) {
        return !completedMillis.containsKey(part) && table.countIndependentEnds(part) > 1;
    }

    /** Returns whether each part has had a complete response and is not blamed for more ends. */
    boolean isRetryAllowed(List<String> parts) {
        for (String part : parts) {
            if (!completedMillis.containsKey(part) || table.countIndependentEnds(part) > 1) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether a request has not ended with another upstream before. */
    boolean isRequestRetryAllowed(String request) {
        return table.countIndependentEnds(request) <= 1;
    }

    void blame(List<String> suspects, String upstream, String request, long sentMillis) {
        boolean explained = suspects.stream().anyMatch(condemned::contains);
        Set<String> changed = new HashSet<>();
        for (String suspect : suspects) {
            // A suspect that is condemned already explains the end; the others are bystanders.
            if ((!explained || condemned.contains(suspect))
                    && table.addEnd(suspect, upstream, timers.nowMillis(), request, sentMillis)) {
                changed.add(suspect);
            }
        }
        publish(changed);
    }

    private void publish(Set<String> changed) {
        if (!changed.isEmpty()) {
            updateCondemned();
            sharing.accept(changed);
        }
    }

    /** Applies the evidence of other instances, or sends the own if it is asked for. */
    public void onShare(EvidenceShare share) {
        if (share.parts().isEmpty()) {
            sharing.accept(table.suspects());
            return;
        }
        Set<String> changed = table.merge(share, timers.nowMillis());
        Set<String> cleared = new HashSet<>();
        for (String part : changed) {
            Long completed = completedMillis.get(part);
            if (completed != null
                    && (table.clearUntil(part, completed) | table.clearCircumstantial(part))) {
                cleared.add(part);
            }
        }
        if (!changed.isEmpty()) {
            updateCondemned();
        }
        publish(cleared);
    }

    private void updateCondemned() {
        Set<String> current = table.condemned();
        for (String part : current) {
            if (!condemned.contains(part)) {
                listener.onQuarantined(part, table.countIndependentEnds(part));
            }
        }
        for (String part : condemned) {
            if (!current.contains(part)) {
                probeMillis.remove(part);
                listener.onReleased(part);
            }
        }
        condemned = current;
    }

    /** Returns the number of parts whose last complete response is remembered. */
    int rememberedParts() {
        return completedMillis.size();
    }

    /** Returns whether anything is in quarantine or on probation. */
    public boolean hasCondemned() {
        return !condemned.isEmpty();
    }

    /** Returns the number of requests and parts that are in quarantine or on probation. */
    public int condemnedCount() {
        return condemned.size();
    }
}
