package dev.jayturn.core.resumption;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Origins of streams, each kept for as long as the stream may be resumed. If the table is full, the
 * record that was added or confirmed first is dropped; its stream then counts as unknown.
 */
final class OriginTable {
    private static final long MAX_LIFETIME_MILLIS = 600_000;

    private final int maxRecords;
    private final Map<Long, Entry> entries = new LinkedHashMap<>();

    private record Entry(StreamOrigin origin, long endMillis) {}

    OriginTable(int maxRecords) {
        this.maxRecords = maxRecords;
    }

    /** Adds or confirms the origin of a stream; two different ones make it unknown. */
    void put(long stream, StreamOrigin origin, long lifetimeMillis, long nowMillis) {
        Entry known = entries.remove(stream);
        long endMillis = nowMillis + Math.min(MAX_LIFETIME_MILLIS, Math.max(0, lifetimeMillis));
        boolean isConfirmation = known != null && known.endMillis() > nowMillis;
        entries.put(
                stream,
                isConfirmation && known != null
                        ? new Entry(
                                known.origin().merge(origin),
                                Math.max(known.endMillis(), endMillis))
                        : new Entry(origin, endMillis));
        if (entries.size() > maxRecords) {
            Iterator<Long> oldest = entries.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Returns the record of a stream; null if there is none. */
    @Nullable OriginRecord find(long stream, long nowMillis) {
        Entry entry = entries.get(stream);
        if (entry == null || entry.endMillis() <= nowMillis) {
            return null;
        }
        return new OriginRecord(
                stream,
                entry.origin().service(),
                entry.origin().softwareVersion(),
                entry.endMillis() - nowMillis);
    }

    void removeExpired(long nowMillis) {
        entries.values().removeIf(entry -> entry.endMillis() <= nowMillis);
    }

    int size() {
        return entries.size();
    }
}
