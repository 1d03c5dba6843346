package dev.jayturn.core.ratelimit;

import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Keeps the requests of an entry instance within its part of the rate limits of upstreams.
 *
 * <p>Answers this pattern: an upstream in need names a limit for all callers together, at times of
 * less than a request a second, while a hundred instances send to it, a few of them most of the
 * load. Equal parts would be too small to use and too many to start with. So one instance, the
 * owner, gives out permits for single requests: each instance asks it when it has a request that
 * could go there, holds a permit for a short time and returns it unused. Requests go to other
 * upstreams meanwhile; they wait for an answer of the owner only if they would be refused.
 */
public final class UpstreamRateLimiter implements RateLimits {
    private static final long TICK_MILLIS = 250;

    /** Interval at which an instance without demand lends its part of the limit again. */
    private static final long REGISTER_INTERVAL_MILLIS = 500;

    private final String self;
    private final TimerService timers;
    private final Transport transport;
    private final RateTable table;
    private final RateSharing sharing;
    private final RateLimitListener listener;
    private final Runnable onPermits;
    private final Map<String, PermitHolder> holders = new HashMap<>();
    private final Map<String, PermitPool> pools = new HashMap<>();
    private List<String> instances = List.of();

    /**
     * Starts a limiter.
     *
     * @param controls addresses of the control instances, which pass on the limits; read each time
     * @param onPermits called when the owner of an upstream's permits has answered
     */
    public UpstreamRateLimiter(
            String self,
            TimerService timers,
            Transport transport,
            Supplier<? extends Collection<String>> controls,
            RateLimitListener listener,
            Runnable onPermits) {
        this.self = self;
        this.timers = timers;
        this.transport = transport;
        this.table = new RateTable();
        this.sharing = new RateSharing(self, table, transport, timers, controls);
        this.listener = listener;
        this.onPermits = onPermits;
        timers.every(TICK_MILLIS, this::tick);
    }

    /** Sets the addresses of the live entry instances, this one included. */
    public void setInstances(List<String> addresses) {
        instances = List.copyOf(addresses);
    }

    /** Returns the number of upstreams with a limit. */
    public int limitedUpstreams() {
        return table.limitedUpstreams().size();
    }

    /**
     * Applies what an upstream said in a response.
     *
     * @param rate requests per second; infinity if it named no limit
     * @param requestMillis time when the request was sent
     */
    public void onResponse(String upstream, double rate, long requestMillis) {
        long now = timers.nowMillis();
        RateTable.Outcome outcome = table.apply(upstream, rate, requestMillis, now);
        if (outcome == RateTable.Outcome.CHANGED) {
            sharing.onChanged(upstream);
            onChanged(upstream, 0);
        }
    }

    private void onChanged(String upstream, long ageMillis) {
        if (isLimited(upstream)) {
            register(upstream);
        }
        listener.onRateLimit(upstream, table.rate(upstream), ageMillis);
    }

    /** Returns whether requests to an upstream need permits. */
    public boolean isLimited(String upstream) {
        return table.rate(upstream) < Double.POSITIVE_INFINITY;
    }

    /** Returns whether a request may be sent now; if not, permits for it are requested. */
    @Override
    public boolean admits(String upstream) {
        if (!isLimited(upstream)) {
            return true;
        }
        long now = timers.nowMillis();
        PermitHolder holder = holder(upstream);
        holder.addDemand(now);
        if (holder.available(now) == 0) {
            requestPermits(upstream, holder);
        }
        return holder.available(now) > 0;
    }

    /** Returns whether this instance holds a permit of an upstream. */
    boolean holdsPermit(String upstream) {
        PermitHolder holder = holders.get(upstream);
        return holder != null && holder.available(timers.nowMillis()) > 0;
    }

    /** Uses a permit for a request; returns false if there is none, or no limit. */
    public boolean acquire(String upstream) {
        if (!isLimited(upstream)) {
            return false;
        }
        long now = timers.nowMillis();
        PermitHolder holder = holder(upstream);
        boolean acquired = holder.use(now);
        if (holder.available(now) < holder.wanted() / 2) {
            requestPermits(upstream, holder);
        }
        return acquired;
    }

    /** Takes back the permit of a request that was not sent. */
    public void release(String upstream) {
        PermitHolder holder = holders.get(upstream);
        if (holder != null) {
            holder.undoUse(timers.nowMillis());
        }
    }

    /** Returns whether the answer to a request for permits of an upstream is to come. */
    public boolean isAnswerPending(String upstream) {
        PermitHolder holder = holders.get(upstream);
        return holder != null && isLimited(upstream) && holder.isPending();
    }

    @Override
    public long retryMillis(String upstream) {
        PermitHolder holder = holders.get(upstream);
        return holder == null ? 0 : holder.retryMillis(timers.nowMillis());
    }

    /** Handles a message from another instance; returns false if it is of another kind. */
    public boolean handle(Message message) {
        if (message instanceof RateShare share) {
            sharing.onShare(share).forEach(upstream -> onChanged(upstream, age(upstream)));
        } else if (message instanceof PermitRequest request) {
            transport.send(request.from(), answer(request));
        } else if (message instanceof PermitGrant grant) {
            onGrant(grant);
        } else if (message instanceof PermitReturn unused) {
            onReturn(unused);
        } else {
            return false;
        }
        return true;
    }

    private long age(String upstream) {
        RateStatement statement = table.statement(upstream, timers.nowMillis());
        return statement == null ? 0 : statement.ageMillis();
    }

    private void merge(RateStatement statement) {
        RateTable.Outcome outcome = sharing.merge(statement, timers.nowMillis());
        if (outcome == RateTable.Outcome.CHANGED) {
            onChanged(statement.upstream(), statement.ageMillis());
        }
    }

    private PermitHolder holder(String upstream) {
        return holders.computeIfAbsent(upstream, PermitHolder::new);
    }

    private void requestPermits(String upstream, PermitHolder holder) {
        long now = timers.nowMillis();
        holder.chooseOwner(instances, now);
        if (holder.canRequestPermits(now)) {
            send(upstream, holder, holder.wanted());
        }
    }

    private void register(String upstream) {
        long now = timers.nowMillis();
        PermitHolder holder = holder(upstream);
        holder.chooseOwner(instances, now);
        if (now - holder.lastRequestMillis() >= REGISTER_INTERVAL_MILLIS
                && holder.canRequest(now)) {
            send(upstream, holder, 0);
        }
    }

    private void send(String upstream, PermitHolder holder, int wanted) {
        long now = timers.nowMillis();
        RateStatement statement = table.statement(upstream, now);
        if (statement == null) {
            return;
        }
        holder.onRequest(now);
        PermitRequest request =
                new PermitRequest(self, holder.number(), instances.size(), wanted, statement);
        if (holder.owner().equals(self)) {
            onGrant(answer(request));
        } else {
            transport.send(holder.owner(), request);
        }
    }

    /** Answers as the owner of an upstream's permits. */
    private PermitGrant answer(PermitRequest request) {
        long now = timers.nowMillis();
        String upstream = request.statement().upstream();
        merge(request.statement());
        RateStatement known = table.statement(upstream, now);
        RateStatement newest = known == null ? request.statement() : known;
        if (newest.rate() == Double.POSITIVE_INFINITY) {
            return new PermitGrant(self, request.number(), 0, 0, newest);
        }
        PermitPool pool = pools.computeIfAbsent(upstream, u -> new PermitPool(now));
        pool.register(request.from(), request.instances(), newest.rate(), now);
        int granted =
                pool.take(request.from(), request.number(), request.wanted(), newest.rate(), now);
        boolean refused = granted == 0 && request.wanted() > 0;
        return new PermitGrant(
                self,
                request.number(),
                granted,
                refused ? pool.retryMillis(newest.rate(), now) : 0,
                newest);
    }

    private void onGrant(PermitGrant grant) {
        String upstream = grant.statement().upstream();
        merge(grant.statement());
        PermitHolder holder = holders.get(upstream);
        boolean applied = holder != null && holder.onGrant(grant, timers.nowMillis());
        if (!applied && grant.permits() > 0) {
            giveBack(grant.from(), upstream, grant.number(), grant.permits());
        }
        if (applied && !grant.from().equals(self)) {
            onPermits.run();
        }
    }

    private void giveBack(String owner, String upstream, long number, int permits) {
        PermitReturn unused = new PermitReturn(self, upstream, number, permits);
        if (owner.equals(self)) {
            onReturn(unused);
        } else {
            transport.send(owner, unused);
        }
    }

    private void onReturn(PermitReturn unused) {
        PermitPool pool = pools.get(unused.upstream());
        if (pool != null) {
            pool.giveBack(
                    unused.from(),
                    unused.number(),
                    unused.permits(),
                    table.rate(unused.upstream()),
                    timers.nowMillis());
        }
    }

    private void tick() {
        long now = timers.nowMillis();
        table.limitedUpstreams().forEach(this::register);
        holders.forEach(
                (upstream, holder) -> {
                    for (PermitHolder.Held ended : holder.removeEnded(now)) {
                        if (ended.permits > 0) {
                            giveBack(ended.owner, upstream, ended.number, ended.permits);
                        }
                    }
                });
        holders.keySet().removeIf(upstream -> !isLimited(upstream));
        pools.keySet().removeIf(upstream -> !isLimited(upstream));
    }
}
