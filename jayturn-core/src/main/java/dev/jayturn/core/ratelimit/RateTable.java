package dev.jayturn.core.ratelimit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The newest statement of each upstream about its rate limit. Tables of several instances are
 * merged in any order and as often as wanted.
 *
 * <p>A statement is newer than another one if its request was sent after the response with the
 * other one had been received. Of two statements that cannot be ordered, the lower limit holds,
 * until a newer one comes.
 */
public final class RateTable {
    /** Statements without a confirmation for this time are dropped. */
    private static final long RETENTION_MILLIS = 600_000;

    /** Allowance for the transit time of messages, which their ages leave out. */
    private static final long TRANSIT_MARGIN_MILLIS = 250;

    private static final int MAX_UPSTREAMS = 5_000;

    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /** What a merge has done. */
    public enum Outcome {
        /** The limit in force has changed. */
        CHANGED,
        /** The limit in force is the same as before. */
        UNCHANGED,
        /** The statement contradicts a newer one that is known. */
        OUTDATED
    }

    private record Entry(double rate, long requestMillis, long statedMillis) {}

    /** Returns the rate limit of an upstream; infinity if there is none. */
    public double rate(String upstream) {
        Entry entry = entries.get(upstream);
        return entry == null ? Double.POSITIVE_INFINITY : entry.rate;
    }

    /** Returns the upstreams with a limit. */
    public List<String> limitedUpstreams() {
        List<String> limited = new ArrayList<>();
        entries.forEach(
                (upstream, entry) -> {
                    if (entry.rate < Double.POSITIVE_INFINITY) {
                        limited.add(upstream);
                    }
                });
        return limited;
    }

    /** Applies a response to a request of this instance. */
    public Outcome apply(String upstream, double rate, long requestMillis, long statedMillis) {
        return merge(upstream, new Entry(rate, requestMillis, statedMillis), 0);
    }

    /** Applies a statement that another instance has sent. */
    public Outcome merge(RateStatement statement, long nowMillis) {
        Entry entry =
                new Entry(
                        statement.rate(),
                        nowMillis - statement.requestAgeMillis(),
                        nowMillis - statement.ageMillis());
        return merge(statement.upstream(), entry, TRANSIT_MARGIN_MILLIS);
    }

    private Outcome merge(String upstream, Entry entry, long marginMillis) {
        Entry known = entries.get(upstream);
        if (known == null) {
            return addFirst(upstream, entry);
        }
        boolean sameRate = known.rate == entry.rate;
        if (entry.requestMillis > known.statedMillis + marginMillis) {
            put(upstream, entry);
            return sameRate ? Outcome.UNCHANGED : Outcome.CHANGED;
        }
        if (sameRate) {
            put(upstream, latest(known, entry));
            return Outcome.UNCHANGED;
        }
        if (entry.statedMillis < known.requestMillis - marginMillis) {
            return Outcome.OUTDATED;
        }
        if (entry.rate < known.rate) {
            put(upstream, entry);
            return Outcome.CHANGED;
        }
        return Outcome.UNCHANGED;
    }

    private Outcome addFirst(String upstream, Entry entry) {
        if (entry.rate == Double.POSITIVE_INFINITY) {
            return Outcome.UNCHANGED;
        }
        put(upstream, entry);
        return Outcome.CHANGED;
    }

    private static Entry latest(Entry left, Entry right) {
        return new Entry(
                left.rate,
                Math.max(left.requestMillis, right.requestMillis),
                Math.max(left.statedMillis, right.statedMillis));
    }

    /** The upstreams with the newest statements are the last ones. */
    private void put(String upstream, Entry entry) {
        entries.remove(upstream);
        entries.put(upstream, entry);
        if (entries.size() > MAX_UPSTREAMS) {
            entries.remove(entries.keySet().iterator().next());
        }
    }

    /** Returns the newest statement of an upstream, for another instance; null if there is none. */
    public @Nullable RateStatement statement(String upstream, long nowMillis) {
        Entry entry = entries.get(upstream);
        return entry == null
                ? null
                : new RateStatement(
                        upstream,
                        entry.rate,
                        nowMillis - entry.requestMillis,
                        nowMillis - entry.statedMillis);
    }

    /** Returns the newest statements of some upstreams, for another instance. */
    public List<RateStatement> statements(Collection<String> upstreams, long nowMillis) {
        List<RateStatement> statements = new ArrayList<>();
        for (String upstream : upstreams) {
            RateStatement statement = statement(upstream, nowMillis);
            if (statement != null) {
                statements.add(statement);
            }
        }
        return statements;
    }

    /** Drops statements that are too old to matter. */
    public void removeExpired(long nowMillis) {
        entries.values().removeIf(entry -> nowMillis - entry.statedMillis >= RETENTION_MILLIS);
    }
}
