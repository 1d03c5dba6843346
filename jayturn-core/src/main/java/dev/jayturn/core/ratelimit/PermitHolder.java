package dev.jayturn.core.ratelimit;

import dev.jayturn.core.slice.HomeInstance;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The permits that this instance holds for one upstream, and the instance that it asks for more.
 */
final class PermitHolder {
    /** A request without an answer for this time counts as lost. */
    private static final long ANSWER_TIMEOUT_MILLIS = 400;

    /** After this number of lost requests in a row another instance becomes the owner. */
    private static final int MAX_LOST_REQUESTS = 3;

    /**
     * Time after which an owner that did not answer is asked again. All instances then come back to
     * one owner; an instance alone with another one would hold too small a part of the limit.
     */
    private static final long SILENCE_MILLIS = 10_000;

    /**
     * Another owner is asked only when the previous one no longer counts on this instance's part of
     * the limit.
     */
    private static final long OWNER_CHANGE_MILLIS = PermitPool.REGISTRATION_MILLIS + 200;

    /** Demand is counted in windows of this length. */
    private static final long DEMAND_WINDOW_MILLIS = 250;

    private static final int MAX_WANTED = 64;

    private final String upstream;
    private final Deque<Held> held = new ArrayDeque<>();
    private String owner = "";

    /** The instances that the owner was chosen from. */
    private List<String> candidates = List.of();

    /** Ends of the times for which instances are not chosen, since they did not answer. */
    private final Map<String, Long> silentUntilMillis = new HashMap<>();

    private int lostRequests;
    private long number;
    private boolean pending;
    private long lastRequestMillis = Long.MIN_VALUE / 2;
    private long ownerFromMillis = Long.MIN_VALUE / 2;
    private long retryAtMillis = Long.MIN_VALUE / 2;
    private long windowStartMillis;
    private int demand;
    private int previousDemand;

    /** Permits of one grant that are not used yet. */
    static final class Held {
        final String owner;
        final long number;
        final long untilMillis;
        int permits;

        Held(String owner, long number, int permits, long untilMillis) {
            this.owner = owner;
            this.number = number;
            this.permits = permits;
            this.untilMillis = untilMillis;
        }
    }

    PermitHolder(String upstream) {
        this.upstream = upstream;
    }

    String owner() {
        return owner;
    }

    long number() {
        return number;
    }

    /**
     * Chooses the owner: the same one on all instances that know the same live instances, unless it
     * has been silent lately.
     */
    void chooseOwner(List<String> instances, long nowMillis) {
        boolean changed = silentUntilMillis.values().removeIf(until -> until <= nowMillis);
        if (lostRequests >= MAX_LOST_REQUESTS) {
            lostRequests = 0;
            silentUntilMillis.put(owner, nowMillis + SILENCE_MILLIS);
            changed = true;
        }
        if (!changed && instances.equals(candidates)) {
            return;
        }
        candidates = instances;
        List<String> answering = new ArrayList<>(instances);
        answering.removeAll(silentUntilMillis.keySet());
        changeOwner(
                HomeInstance.of(upstream, answering.isEmpty() ? instances : answering), nowMillis);
    }

    private void changeOwner(String chosen, long nowMillis) {
        if (!chosen.equals(owner)) {
            boolean registered = nowMillis - lastRequestMillis < OWNER_CHANGE_MILLIS;
            ownerFromMillis = registered ? lastRequestMillis + OWNER_CHANGE_MILLIS : nowMillis;
            owner = chosen;
            pending = false;
        }
    }

    /** Returns whether the owner can be asked now. */
    boolean canRequest(long nowMillis) {
        boolean lost = pending && nowMillis - lastRequestMillis >= ANSWER_TIMEOUT_MILLIS;
        if (lost) {
            pending = false;
            lostRequests++;
        }
        return !pending && !owner.isEmpty() && nowMillis >= ownerFromMillis;
    }

    /** Returns whether the owner can be asked for permits now. */
    boolean canRequestPermits(long nowMillis) {
        return canRequest(nowMillis) && nowMillis >= retryAtMillis;
    }

    boolean isPending() {
        return pending;
    }

    long lastRequestMillis() {
        return lastRequestMillis;
    }

    /** Records that the owner is asked. */
    void onRequest(long nowMillis) {
        number++;
        pending = true;
        lastRequestMillis = nowMillis;
    }

    /** Applies the answer to the last request; returns false if it answers another one. */
    boolean onGrant(PermitGrant grant, long nowMillis) {
        if (!pending || grant.number() != number || !grant.from().equals(owner)) {
            return false;
        }
        pending = false;
        lostRequests = 0;
        if (grant.permits() > 0) {
            held.addLast(
                    new Held(
                            owner,
                            number,
                            grant.permits(),
                            lastRequestMillis + PermitPool.PERMIT_MILLIS));
        }
        if (grant.retryMillis() > 0) {
            retryAtMillis = nowMillis + grant.retryMillis();
        }
        return true;
    }

    /** Returns the number of permits that are still valid and not used. */
    int available(long nowMillis) {
        int sum = 0;
        for (Held each : held) {
            sum += each.untilMillis > nowMillis ? each.permits : 0;
        }
        return sum;
    }

    /** Uses a permit; returns false if there is none. */
    boolean use(long nowMillis) {
        for (Held each : held) {
            if (each.untilMillis > nowMillis && each.permits > 0) {
                each.permits--;
                return true;
            }
        }
        return false;
    }

    /** Takes back the permit of a request that was not sent. */
    void undoUse(long nowMillis) {
        for (Held each : held) {
            if (each.untilMillis > nowMillis) {
                each.permits++;
                return;
            }
        }
    }

    /** Removes and returns the grants that have expired. */
    List<Held> removeEnded(long nowMillis) {
        List<Held> ended = new ArrayList<>();
        for (Held each : held) {
            if (each.untilMillis <= nowMillis) {
                ended.add(each);
            }
        }
        held.removeAll(ended);
        return ended;
    }

    /** Counts a request that could go to the upstream. */
    void addDemand(long nowMillis) {
        if (nowMillis - windowStartMillis >= DEMAND_WINDOW_MILLIS) {
            boolean isNext = nowMillis - windowStartMillis < 2 * DEMAND_WINDOW_MILLIS;
            previousDemand = isNext ? demand : 0;
            demand = 0;
            windowStartMillis = nowMillis;
        }
        demand++;
    }

    /** Returns the number of permits that the demand of one window needs. */
    int wanted() {
        return Math.max(1, Math.min(MAX_WANTED, Math.max(demand, previousDemand)));
    }

    /** Returns the time until the owner may be asked again after a refusal. */
    long retryMillis(long nowMillis) {
        return Math.max(0, retryAtMillis - nowMillis);
    }
}
