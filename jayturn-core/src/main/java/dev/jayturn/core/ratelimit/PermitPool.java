package dev.jayturn.core.ratelimit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The permits of one upstream for the instances that ask this one for them.
 *
 * <p>Each instance asks one owner at a time and thereby lends it its part of the limit, so the
 * pools of all owners together stay within the limit, even while views of the fleet differ. Permits
 * that are neither used nor expired count against the stock, so that in any time span no more
 * permits are used than accrue in it and the stock at its start.
 */
final class PermitPool {
    /** Time after its last request for which an instance lends its part of the limit. */
    static final long REGISTRATION_MILLIS = 1_500;

    /** Time for which a permit is valid, from the request for it. */
    static final long PERMIT_MILLIS = 700;

    /** Covers the way of a returned permit. */
    private static final long RETURN_MARGIN_MILLIS = 100;

    /** The largest stock is what accrues in this time and a number of permits in addition. */
    private static final double STOCK_SECONDS = 1.2;

    private static final double STOCK_PERMITS = 3;

    /** An upstream that names a lower limit gets requests at this rate: they show when it ends. */
    private static final double MIN_RATE = 0.25;

    /** Refused requests within this time are expected to come again. */
    private static final long REFUSAL_MEMORY_MILLIS = 1_000;

    private static final long MIN_RETRY_MILLIS = 60;
    private static final long MAX_RETRY_MILLIS = 4_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<String, Lender> lenders = new HashMap<>();
    private final Map<String, Grant> grants = new LinkedHashMap<>();
    private final Deque<Long> refusals = new ArrayDeque<>();
    private double permits;
    private int outstanding;
    private long accruedMillis;

    private record Lender(int instances, long untilMillis) {}

    private record Grant(int permits, long untilMillis) {}

    PermitPool(long nowMillis) {
        accruedMillis = nowMillis;
    }

    /** Takes the part of the limit that an instance lends. */
    void register(String instance, int instances, double rate, long nowMillis) {
        accrue(rate, nowMillis);
        lenders.put(instance, new Lender(instances, nowMillis + REGISTRATION_MILLIS));
    }

    /** Returns the share of the limit that is lent to this pool, from 0 to 1. */
    double share() {
        int instances = lenders.size();
        for (Lender lender : lenders.values()) {
            instances = Math.max(instances, lender.instances);
        }
        return instances == 0 ? 0 : (double) lenders.size() / instances;
    }

    /**
     * Grants permits, at most half of those in stock unless it has only one, so that the other
     * instances find some too.
     *
     * @return the number of permits granted; 0 if there are none
     */
    int take(String instance, long number, int wanted, double rate, long nowMillis) {
        accrue(rate, nowMillis);
        String key = key(instance, number);
        if (wanted == 0 || grants.containsKey(key)) {
            return 0;
        }
        int granted = Math.min(wanted, Math.max((int) permits / 2, Math.min((int) permits, 1)));
        if (granted == 0) {
            refusals.addLast(nowMillis);
            return 0;
        }
        permits -= granted;
        outstanding += granted;
        grants.put(key, new Grant(granted, nowMillis + PERMIT_MILLIS + RETURN_MARGIN_MILLIS));
        return granted;
    }

    /** Puts unused permits back into the stock, once for each grant. */
    void giveBack(String instance, long number, int unused, double rate, long nowMillis) {
        accrue(rate, nowMillis);
        Grant grant = grants.remove(key(instance, number));
        if (grant != null) {
            outstanding -= grant.permits;
            permits += Math.min(unused, grant.permits);
        }
    }

    /** Returns the expected time until another request can be granted. */
    long retryMillis(double rate, long nowMillis) {
        accrue(rate, nowMillis);
        while (!refusals.isEmpty() && refusals.peekFirst() < nowMillis - REFUSAL_MEMORY_MILLIS) {
            refusals.removeFirst();
        }
        double accruing = effectiveRate(rate) * share();
        double missing = Math.max(0, refusals.size() - permits);
        double millis = accruing <= 0 ? MAX_RETRY_MILLIS : MILLIS_PER_SECOND * missing / accruing;
        return (long) Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, millis));
    }

    private static String key(String instance, long number) {
        return instance + ' ' + number;
    }

    private static double effectiveRate(double rate) {
        return Math.max(MIN_RATE, rate);
    }

    private void accrue(double rate, long nowMillis) {
        expire(nowMillis);
        double accruing = effectiveRate(rate) * share();
        double stock = STOCK_SECONDS * accruing + STOCK_PERMITS * share();
        double accrued = accruing * (nowMillis - accruedMillis) / MILLIS_PER_SECOND;
        accruedMillis = nowMillis;
        permits = Math.min(permits + accrued, Math.max(0, stock - outstanding));
    }

    private void expire(long nowMillis) {
        lenders.values().removeIf(lender -> lender.untilMillis <= nowMillis);
        Iterator<Grant> oldest = grants.values().iterator();
        while (oldest.hasNext()) {
            Grant grant = oldest.next();
            if (grant.untilMillis > nowMillis) {
                return;
            }
            outstanding -= grant.permits;
            oldest.remove();
        }
    }
}
