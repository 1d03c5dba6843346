package dev.jayturn.core.resumption;

import com.google.common.hash.Hashing;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;

/**
 * The origins of streams, as an entry instance records and finds them.
 *
 * <p>Answers this pattern: all entry instances lose power together, come back within a second and
 * know nothing, while callers resume thousands of streams at any of them, a rollout is under way
 * and no upstream checks what it continues. So each origin is recorded at the control instances
 * that rank highest for the stream (rendezvous hashing), in batches of some milliseconds. A search
 * asks the same ones and ends with the first that has a record, or as soon as all have none. An
 * instance that dies within the batch interval loses the records of that time: these streams are
 * unknown then, and are refused.
 */
public final class StreamOrigins {
    /** Number of control instances that each record is sent to, which may be in any data centre. */
    private static final int HOLDERS = 3;

    private static final long BATCH_MILLIS = 20;
    private static final int MAX_BATCH_RECORDS = 256;
    private static final int MAX_RECORDS = 20_000;
    private static final long EXPIRY_INTERVAL_MILLIS = 2_000;

    /** Records older than this can no longer be retracted. */
    private static final long RECENT_MILLIS = 60_000;

    /** A query is repeated after this time; the connection that it was sent over may be dead. */
    private static final long REPEAT_MILLIS = 100;

    /** Further searches fail at once, so that invented ids cannot fill the memory. */
    private static final int MAX_SEARCHES = 4_000;

    private final String self;
    private final TimerService timers;
    private final Transport transport;
    private final Supplier<? extends Collection<String>> controls;
    private final OriginTable table = new OriginTable(MAX_RECORDS);
    private final Map<Long, OriginRecord> unsent = new LinkedHashMap<>();
    private final Map<Long, Search> searches = new HashMap<>();
    private final Deque<RecentRecord> recentRecords = new ArrayDeque<>();
    private boolean sendPending;
    private boolean held;

    private record RecentRecord(long millis, OriginRecord record) {}

    /** A search for the origin of one stream, for one or more requests. */
    private static final class Search {
        final Set<String> unanswered = new TreeSet<>();
        final List<OriginCallback> callbacks = new ArrayList<>();
    }

    /**
     * Creates an empty table.
     *
     * @param controls addresses of the control instances; read each time
     */
    public StreamOrigins(
            String self,
            TimerService timers,
            Transport transport,
            Supplier<? extends Collection<String>> controls) {
        this.self = self;
        this.timers = timers;
        this.transport = transport;
        this.controls = controls;
        timers.every(EXPIRY_INTERVAL_MILLIS, () -> table.removeExpired(timers.nowMillis()));
    }

    /**
     * Records the origin of a stream, here and at control instances.
     *
     * @param lifetimeMillis time for which the stream may be resumed
     */
    public void put(long stream, StreamOrigin origin, long lifetimeMillis) {
        table.put(stream, origin, lifetimeMillis, timers.nowMillis());
        OriginRecord added =
                new OriginRecord(
                        stream, origin.service(), origin.softwareVersion(), lifetimeMillis);
        unsent.put(stream, added);
        if (unsent.size() > MAX_RECORDS) {
            unsent.remove(unsent.keySet().iterator().next());
        }
        addRecent(added);
        if (!sendPending) {
            sendPending = true;
            timers.schedule(BATCH_MILLIS, this::sendBatches);
        }
    }

    private void addRecent(OriginRecord added) {
        long now = timers.nowMillis();
        recentRecords.addLast(new RecentRecord(now, added));
        while (recentRecords.size() > MAX_RECORDS
                || now - recentRecords.getFirst().millis() > RECENT_MILLIS) {
            recentRecords.removeFirst();
        }
    }

    /** Keeps new records at this instance, because the upstreams may not be as it knows them. */
    public void hold() {
        held = true;
    }

    /**
     * Sends the records that were held back, and from now on each new one.
     *
     * @param retractedSinceMillis origins that were recorded since then become unknown; {@link
     *     Long#MAX_VALUE} if all of them were right
     */
    public void release(long retractedSinceMillis) {
        held = false;
        for (RecentRecord recent : List.copyOf(recentRecords)) {
            if (recent.millis() >= retractedSinceMillis) {
                OriginRecord made = recent.record();
                put(made.stream(), StreamOrigin.UNKNOWN, made.remainingMillis());
            }
        }
        sendBatches();
    }

    private void sendBatches() {
        sendPending = false;
        if (held) {
            return;
        }
        Map<String, List<OriginRecord>> batches = new LinkedHashMap<>();
        for (OriginRecord origin : unsent.values()) {
            for (String holder : holdersOf(origin.stream())) {
                List<OriginRecord> batch = batches.computeIfAbsent(holder, h -> new ArrayList<>());
                batch.add(origin);
                if (batch.size() == MAX_BATCH_RECORDS) {
                    transport.send(holder, new OriginShare(List.copyOf(batch)));
                    batch.clear();
                }
            }
        }
        unsent.clear();
        batches.forEach(
                (holder, batch) -> {
                    if (!batch.isEmpty()) {
                        transport.send(holder, new OriginShare(batch));
                    }
                });
    }

    private List<String> holdersOf(long stream) {
        List<String> addresses = new ArrayList<>(controls.get());
        if (addresses.size() <= HOLDERS) {
            return addresses;
        }
        addresses.sort(Comparator.comparingLong(address -> rank(stream, address)));
        return addresses.subList(0, HOLDERS);
    }

    private static long rank(long stream, String address) {
        return Hashing.murmur3_128()
                .newHasher()
                .putLong(stream)
                .putString(address, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }

    /**
     * Searches the origin of a stream; the callback may be called before this method returns.
     *
     * @param maxMillis time after which the search ends without a result
     */
    public void find(long stream, long maxMillis, OriginCallback callback) {
        OriginRecord own = table.find(stream, timers.nowMillis());
        if (own != null) {
            callback.onFound(own.origin());
            return;
        }
        Search running = searches.get(stream);
        if (running == null && searches.size() >= MAX_SEARCHES) {
            callback.onNotFound(false);
            return;
        }
        if (running != null) {
            running.callbacks.add(callback);
        } else {
            start(stream, callback);
        }
        timers.schedule(maxMillis, () -> giveUp(stream, callback));
    }

    private void start(long stream, OriginCallback callback) {
        Search search = new Search();
        search.callbacks.add(callback);
        search.unanswered.addAll(holdersOf(stream));
        searches.put(stream, search);
        ask(stream, search);
    }

    private void ask(long stream, Search search) {
        for (String holder : search.unanswered) {
            transport.send(holder, new OriginQuery(self, List.of(stream)));
        }
        timers.schedule(
                REPEAT_MILLIS,
                () -> {
                    if (searches.get(stream) == search) {
                        ask(stream, search);
                    }
                });
    }

    private void giveUp(long stream, OriginCallback callback) {
        Search search = searches.get(stream);
        if (search != null && search.callbacks.remove(callback)) {
            if (search.callbacks.isEmpty()) {
                searches.remove(stream);
            }
            callback.onNotFound(false);
        }
    }

    /** Handles a message from another instance; returns false if it is of another kind. */
    public boolean handle(Message message) {
        if (!(message instanceof OriginAnswer answer)) {
            return false;
        }
        for (OriginRecord origin : answer.known()) {
            onKnown(origin);
        }
        for (long stream : answer.missing()) {
            onMissing(stream, answer.from());
        }
        return true;
    }

    private void onKnown(OriginRecord origin) {
        Search search = searches.remove(origin.stream());
        if (search != null) {
            table.put(
                    origin.stream(), origin.origin(), origin.remainingMillis(), timers.nowMillis());
            search.callbacks.forEach(callback -> callback.onFound(origin.origin()));
        }
    }

    private void onMissing(long stream, String from) {
        Search search = searches.get(stream);
        if (search != null && search.unanswered.remove(from) && search.unanswered.isEmpty()) {
            searches.remove(stream);
            search.callbacks.forEach(callback -> callback.onNotFound(true));
        }
    }
}
