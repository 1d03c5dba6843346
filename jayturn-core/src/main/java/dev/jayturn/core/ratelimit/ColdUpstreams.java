package dev.jayturn.core.ratelimit;

import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.directory.HeartbeatValidator;
import dev.jayturn.core.random.RandomSource;
import dev.jayturn.core.timer.TimerService;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the requests to cold upstreams, which crash under the usual load, within the rate that they
 * tolerate from all instances together, in addition to the limits that upstreams name.
 *
 * <p>Answers this pattern: many upstreams come back at once, idle, so that every instance prefers
 * them. While an upstream is cold, requests to it need permits of an {@link UpstreamRateLimiter}.
 * An instance that does not know the upstreams as they are now can't be told that one has become
 * cold. It goes on as before with those to which it has kept a connection; for the others it keeps
 * within an equal part of what each one tolerates, without asking anybody.
 */
public final class ColdUpstreams implements RateLimits {
    /**
     * Share of the tolerated rate that is given out. With the stock of permits, which may be used
     * at once, no second has more than one and a third of the tolerated rate and three requests.
     */
    private static final double PERMIT_SHARE = 0.65;

    /** After an upstream has become warm its limit is doubled for this time before it ends. */
    private static final long WARMING_MILLIS = 1_500;

    private static final double WARMING_FACTOR = 2;

    /**
     * Others that have stated a limit get this time to hear that the upstream is warm; or this
     * instance, to hear that it is cold.
     */
    private static final long CONTRADICTION_MILLIS = 2_000;

    /** Share of the tolerated rate that instances use together which can't know of a cold time. */
    private static final double UNASKED_SHARE = 0.8;

    /** Requests that all instances together may send at once when their views get old. */
    private static final double UNASKED_REQUESTS = 2;

    /** Least number of upstreams that permits are requested of at a time. */
    private static final int MIN_ASKED = 2;

    /** Permits of one upstream that all instances may hold about at a time. */
    private static final int PERMITS_IN_USE = 4;

    private static final long ASK_INTERVAL_MILLIS = 20;
    private static final double MIN_VARIATION = 0.5;
    private static final int RANDOM_STEPS = 1_000;

    /** An upstream that broke a connection may have restarted; within this time that is told. */
    private static final long SUSPICION_MILLIS = 3_000;

    /** Limits the memory; what is forgotten is heard again once it is cold. */
    private static final int MAX_UPSTREAMS = 16_000;

    /** Tells the limit of a cold upstream from the one that the upstream names itself. */
    private static final String KEY_SUFFIX = "#cold";

    private static final long TICK_MILLIS = 250;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final UpstreamRateLimiter limiter;
    private final TimerService timers;
    private final ToDoubleFunction<String> toleratedRate;
    private final BooleanSupplier isDirectoryCurrent;
    private final IntSupplier instances;
    private final ColdListener listener;
    private final RandomSource random;
    private Predicate<Heartbeat> hasConnection = heartbeat -> false;
    private final Map<String, Upstream> byId = new HashMap<>();

    /** Whether a service with a limit was seen; otherwise nothing is looked up. */
    private boolean active;

    /** The limits that permits are requested of. */
    private final Set<String> asked = new HashSet<>();

    private long askedMillis = Long.MIN_VALUE / 2;

    /** Learns which upstreams are cold. */
    public interface ColdListener {
        /**
         * Called when an upstream has become cold or warm.
         *
         * @param upstream id and incarnation of the upstream
         * @param remainingMillis time for which it stays cold, as it says; 0 if it is warm
         */
        void onCold(String upstream, long remainingMillis);
    }

    /** What is known about the newest incarnation of an upstream. */
    private static final class Upstream {
        final String key;
        Heartbeat heartbeat;
        boolean cold;
        long warmingUntilMillis = Long.MIN_VALUE / 2;
        long contradictedSinceMillis = Long.MAX_VALUE;
        double statedRate = Double.POSITIVE_INFINITY;
        long nextUnaskedMillis = Long.MIN_VALUE / 2;
        boolean unknown;
        boolean contactKept;
        long suspectUntilMillis = Long.MIN_VALUE / 2;

        Upstream(Heartbeat heartbeat) {
            this.heartbeat = heartbeat;
            this.key = heartbeat.incarnationId() + KEY_SUFFIX;
        }
    }

    /**
     * Starts to observe upstreams.
     *
     * @param toleratedRate returns the requests per second that a cold upstream tolerates, by the
     *     name of its service; 0 if there is no limit
     * @param isDirectoryCurrent returns whether this instance knows the upstreams as they are now
     * @param instances returns the number of live entry instances
     */
    public ColdUpstreams(
            UpstreamRateLimiter limiter,
            TimerService timers,
            ToDoubleFunction<String> toleratedRate,
            BooleanSupplier isDirectoryCurrent,
            IntSupplier instances,
            RandomSource random,
            ColdListener listener) {
        this.limiter = limiter;
        this.timers = timers;
        this.toleratedRate = toleratedRate;
        this.isDirectoryCurrent = isDirectoryCurrent;
        this.instances = instances;
        this.random = random;
        this.listener = listener;
        timers.every(TICK_MILLIS, this::tick);
    }

    /**
     * Sets how to find out whether this instance has a connection to an upstream. One that was
     * opened while the directory was current and is still open shows that the upstream has not
     * restarted since.
     */
    public void setConnectionCheck(Predicate<Heartbeat> check) {
        hasConnection = check;
    }

    /** Applies a heartbeat; older ones than already applied are ignored. */
    public void onHeartbeat(Heartbeat heartbeat) {
        if (!HeartbeatValidator.isValid(heartbeat)) {
            return;
        }
        Upstream upstream = byId.get(heartbeat.id());
        if (upstream != null && !heartbeat.isAfter(upstream.heartbeat)) {
            return;
        }
        boolean isOther =
                upstream == null
                        || upstream.heartbeat.incarnation() != heartbeat.incarnation()
                        || heartbeat.hasDeparted();
        if (isOther) {
            endLimit(byId.remove(heartbeat.id()));
        }
        if (heartbeat.hasDeparted()) {
            return;
        }
        if (byId.size() >= MAX_UPSTREAMS) {
            byId.values().removeIf(known -> !known.cold);
        }
        Upstream current = byId.computeIfAbsent(heartbeat.id(), id -> new Upstream(heartbeat));
        current.heartbeat = heartbeat;
        long now = timers.nowMillis();
        boolean isCold = heartbeat.coldMillis() > 0;
        if (isCold != current.cold) {
            listener.onCold(heartbeat.incarnationId(), heartbeat.coldMillis());
            current.cold = isCold;
            current.warmingUntilMillis = now + WARMING_MILLIS;
        }
        update(current, now);
    }

    /**
     * Records that an upstream could not be reached or broke off a response. It may have crashed,
     * and be back under its id and address before this instance is told.
     */
    public void onConnectionLost(String incarnationId) {
        Upstream upstream = find(incarnationId);
        if (upstream != null) {
            upstream.suspectUntilMillis = timers.nowMillis() + SUSPICION_MILLIS;
            upstream.contactKept &= isDirectoryCurrent.getAsBoolean();
        }
    }

    /** Returns the number of upstreams that are cold, as far as this instance knows. */
    public int coldUpstreams() {
        return (int) byId.values().stream().filter(upstream -> upstream.cold).count();
    }

    private void tick() {
        long now = timers.nowMillis();
        for (Upstream upstream : byId.values()) {
            update(upstream, now);
            unaskedWaitMillis(upstream);
        }
    }

    /** States the limit that the upstream has now, if it differs from the one stated before. */
    private void update(Upstream upstream, long nowMillis) {
        double rate = rateOf(upstream, nowMillis);
        boolean isContradicted =
                rate == Double.POSITIVE_INFINITY
                        && limiter.isLimited(upstream.key)
                        && isDirectoryCurrent.getAsBoolean();
        upstream.contradictedSinceMillis =
                isContradicted
                        ? Math.min(upstream.contradictedSinceMillis, nowMillis)
                        : Long.MAX_VALUE;
        boolean isOverdue = nowMillis - CONTRADICTION_MILLIS >= upstream.contradictedSinceMillis;
        if (rate != upstream.statedRate || isOverdue) {
            upstream.statedRate = rate;
            limiter.onResponse(upstream.key, rate, nowMillis);
        }
    }

    private double rateOf(Upstream upstream, long nowMillis) {
        double rate = PERMIT_SHARE * tolerated(upstream);
        active |= rate > 0;
        if (rate > 0 && upstream.cold) {
            return rate;
        }
        return rate > 0 && nowMillis < upstream.warmingUntilMillis
                ? WARMING_FACTOR * rate
                : Double.POSITIVE_INFINITY;
    }

    private double tolerated(Upstream upstream) {
        return toleratedRate.applyAsDouble(upstream.heartbeat.service());
    }

    private void endLimit(@Nullable Upstream upstream) {
        if (upstream != null && upstream.statedRate < Double.POSITIVE_INFINITY) {
            limiter.onResponse(upstream.key, Double.POSITIVE_INFINITY, timers.nowMillis());
        }
    }

    private @Nullable Upstream find(String incarnationId) {
        if (!active) {
            return null;
        }
        Upstream upstream = byId.get(incarnationId.substring(0, incarnationId.lastIndexOf('/')));
        boolean isNewest =
                upstream != null && upstream.heartbeat.incarnationId().equals(incarnationId);
        return isNewest ? upstream : null;
    }

    /**
     * Returns the key of the limit of a cold upstream; null if there is no limit. Another instance
     * may have heard first that it is cold.
     */
    private @Nullable String limitOf(@Nullable Upstream upstream) {
        if (upstream == null || tolerated(upstream) <= 0) {
            return null;
        }
        return limiter.isLimited(upstream.key) ? upstream.key : null;
    }

    /**
     * Returns the time until this instance may send without asking; 0 if at once. Instances do not
     * all begin with a request that they may send at once.
     */
    private long unaskedWaitMillis(@Nullable Upstream upstream) {
        if (upstream == null) {
            return 0;
        }
        boolean wasUnknown = upstream.unknown;
        upstream.unknown = !isKnown(upstream);
        if (!upstream.unknown) {
            return 0;
        }
        long now = timers.nowMillis();
        double atOnceShare = UNASKED_REQUESTS / Math.max(1, instances.getAsInt());
        if (!wasUnknown && upstream.nextUnaskedMillis <= now && randomShare() >= atOnceShare) {
            upstream.nextUnaskedMillis =
                    now + (long) (randomShare() * unaskedIntervalMillis(upstream));
        }
        return Math.max(0, upstream.nextUnaskedMillis - now);
    }

    private double randomShare() {
        return random.nextInt(RANDOM_STEPS) / (double) RANDOM_STEPS;
    }

    private double unaskedIntervalMillis(Upstream upstream) {
        double perSecond = UNASKED_SHARE * tolerated(upstream);
        return MILLIS_PER_SECOND * Math.max(1, instances.getAsInt()) / perSecond;
    }

    /** Returns whether it is known whether the upstream is cold, or does not matter. */
    private boolean isKnown(Upstream upstream) {
        if (tolerated(upstream) <= 0) {
            return true;
        }
        // Once lost, contact proves nothing until the directory is current again.
        upstream.contactKept =
                isDirectoryCurrent.getAsBoolean()
                        || (upstream.contactKept && hasConnection.test(upstream.heartbeat));
        return upstream.contactKept && timers.nowMillis() >= upstream.suspectUntilMillis;
    }

    /**
     * Records a request that is sent without asking. Those sent while the view was current count
     * too. The interval varies, so that instances which lost their views together do not send
     * together.
     */
    private void recordUnasked(@Nullable Upstream upstream) {
        if (upstream != null && tolerated(upstream) > 0) {
            double intervalMillis =
                    (MIN_VARIATION + randomShare()) * unaskedIntervalMillis(upstream);
            upstream.nextUnaskedMillis = timers.nowMillis() + (long) intervalMillis;
        }
    }

    /**
     * Returns whether there is a permit of a cold upstream; if not, one may be requested. Permits
     * of only some upstreams are requested at a time: a request uses one, and the others would be
     * missing elsewhere.
     */
    private boolean admitsCold(String key) {
        if (limiter.holdsPermit(key)) {
            return true;
        }
        long now = timers.nowMillis();
        if (now - askedMillis >= ASK_INTERVAL_MILLIS) {
            askedMillis = now;
            chooseAsked();
        }
        return asked.contains(key) && limiter.admits(key);
    }

    /** Replaces the upstreams that have refused permits, or need none any more. */
    private void chooseAsked() {
        asked.removeIf(
                key ->
                        !limiter.isLimited(key)
                                || (!limiter.isAnswerPending(key)
                                        && !limiter.holdsPermit(key)
                                        && limiter.retryMillis(key) > 0));
        List<String> others = new ArrayList<>();
        int limited = 0;
        for (Upstream upstream : byId.values()) {
            String key = limitOf(upstream);
            limited += key == null ? 0 : 1;
            if (key != null && !asked.contains(key) && limiter.retryMillis(key) == 0) {
                others.add(key);
            }
        }
        int most =
                Math.max(MIN_ASKED, PERMITS_IN_USE * limited / Math.max(1, instances.getAsInt()));
        while (asked.size() < most && !others.isEmpty()) {
            asked.add(others.remove(random.nextInt(others.size())));
        }
    }

    @Override
    public boolean admits(String incarnationId) {
        boolean admitted = limiter.admits(incarnationId);
        Upstream upstream = find(incarnationId);
        String cold = limitOf(upstream);
        return cold == null
                ? admitted && unaskedWaitMillis(upstream) == 0
                : admitted && admitsCold(cold);
    }

    @Override
    public long retryMillis(String incarnationId) {
        Upstream upstream = find(incarnationId);
        String cold = limitOf(upstream);
        return Math.max(
                limiter.retryMillis(incarnationId),
                cold == null ? unaskedWaitMillis(upstream) : limiter.retryMillis(cold));
    }

    /** Returns whether requests to an upstream need permits. */
    public boolean isLimited(String incarnationId) {
        Upstream upstream = find(incarnationId);
        return limiter.isLimited(incarnationId)
                || limitOf(upstream) != null
                || (upstream != null && !isKnown(upstream));
    }

    /** Uses a permit for a request; returns false if there is none, or no limit. */
    public boolean acquire(String incarnationId) {
        Upstream upstream = find(incarnationId);
        String cold = limitOf(upstream);
        boolean ownLimit = limiter.isLimited(incarnationId);
        if (ownLimit && !limiter.acquire(incarnationId)) {
            return false;
        }
        boolean acquired = cold == null ? unaskedWaitMillis(upstream) == 0 : limiter.acquire(cold);
        if (!acquired && ownLimit) {
            limiter.release(incarnationId);
        } else if (acquired) {
            recordUnasked(upstream);
        }
        return acquired && (ownLimit || cold != null || (upstream != null && !isKnown(upstream)));
    }

    /** Takes back the permit of a request that was not sent. */
    public void release(String incarnationId) {
        limiter.release(incarnationId);
        String cold = limitOf(find(incarnationId));
        if (cold != null) {
            limiter.release(cold);
        }
    }

    /** Returns whether the answer to a request for permits of an upstream is to come. */
    public boolean isAnswerPending(String incarnationId) {
        String cold = limitOf(find(incarnationId));
        return limiter.isAnswerPending(incarnationId)
                || (cold != null && limiter.isAnswerPending(cold));
    }
}
