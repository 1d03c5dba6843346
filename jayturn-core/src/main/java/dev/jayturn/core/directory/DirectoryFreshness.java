package dev.jayturn.core.directory;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells whether an entry instance knows the upstreams as they are now.
 *
 * <p>Answers this pattern: an entry instance is cut off from the control instances, or stands
 * still, for some seconds during a rollout, while it reaches upstreams and callers, or does so
 * again at once. Upstreams come back meanwhile under their ids with another software version, which
 * nothing but a heartbeat tells.
 */
public final class DirectoryFreshness {
    /** Has to be longer than the interval of the reports that are answered with updates. */
    private static final long MAX_AGE_MILLIS = 1_000;

    /** The process stood still if it did nothing for this time; it has timers of 300 ms. */
    private static final long MAX_PAUSE_MILLIS = 1_000;

    /** Updates that are read within this time after a pause may have been sent before its end. */
    private static final long BACKLOG_MILLIS = 300;

    /** Time in which the first heartbeat of an upstream reaches all instances in touch. */
    private static final long PROPAGATION_MILLIS = 150;

    private final Map<String, Long> updatesByControl = new HashMap<>();
    private final Listener listener;
    private long activeMillis;
    private long backlogEndMillis = Long.MIN_VALUE;
    private long updatedMillis;
    private boolean current;

    /** Learns when the directory is found to be outdated, and when it is current again. */
    public interface Listener {
        /** Called when the upstreams may no longer be as they are known. */
        default void onDirectoryOutdated() {}

        /**
         * Called when the upstreams are known again, after the changes have been applied.
         *
         * @param sinceMillis requests that were sent since then may have gone to other upstreams
         *     than those that were known
         */
        default void onDirectoryCurrent(long sinceMillis) {}
    }

    /** Creates the freshness of a directory that is not known yet. */
    public DirectoryFreshness(long nowMillis, Listener listener) {
        this.activeMillis = nowMillis;
        this.updatedMillis = nowMillis;
        this.listener = listener;
    }

    /**
     * Records an update from a control instance, after it has been applied. Call {@link #check}
     * before it is applied.
     *
     * @param isLeader whether it comes from the leader
     * @param isComplete whether no earlier update of that control instance is missing
     * @param controlCount number of control instances, of which more than half have to be in touch
     *     if none of them leads
     * @param answeredMillis when the report was sent that the update answers; 0 if that is not
     *     known
     */
    public void onUpdate(
            String control,
            boolean isLeader,
            boolean isComplete,
            int controlCount,
            long answeredMillis,
            long nowMillis) {
        check(nowMillis);
        // The network may deliver after a cut what was sent before or during it.
        boolean heldUp = answeredMillis != 0 && nowMillis - answeredMillis > MAX_AGE_MILLIS;
        if (!isComplete || heldUp || nowMillis < backlogEndMillis) {
            return;
        }
        updatesByControl.put(control, nowMillis);
        updatesByControl.values().removeIf(millis -> nowMillis - millis > MAX_AGE_MILLIS);
        if (isLeader || 2 * updatesByControl.size() > controlCount) {
            long previousMillis = updatedMillis;
            updatedMillis = nowMillis;
            if (!current) {
                current = true;
                listener.onDirectoryCurrent(previousMillis - PROPAGATION_MILLIS);
            }
        }
    }

    /** Looks for pauses and missing updates; call at least every {@value #MAX_PAUSE_MILLIS} ms. */
    public void check(long nowMillis) {
        boolean paused = nowMillis - activeMillis > MAX_PAUSE_MILLIS;
        activeMillis = nowMillis;
        if (paused) {
            backlogEndMillis = nowMillis + BACKLOG_MILLIS;
            updatesByControl.clear();
        }
        if (current && (paused || nowMillis - updatedMillis > MAX_AGE_MILLIS)) {
            current = false;
            listener.onDirectoryOutdated();
        }
    }

    /** Returns whether the upstreams are known as they are now. */
    public boolean isCurrent(long nowMillis) {
        check(nowMillis);
        return current;
    }
}
