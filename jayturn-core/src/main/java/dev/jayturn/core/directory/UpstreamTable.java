package dev.jayturn.core.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The newest heartbeat of each upstream. Each row records the revision of its last change, so that
 * a reader receives only the changes since the revision that it has.
 */
public final class UpstreamTable {
    /**
     * Time for which an upstream is kept after its last heartbeat or departure, so that delayed
     * older heartbeats are recognised.
     */
    private static final long RETENTION_MILLIS = 60_000;

    /** Limits the memory and the size of updates if someone invents ids. */
    private static final int MAX_UPSTREAMS = 8_000;

    private final Map<String, Row> rows = new LinkedHashMap<>();

    /** Ids of the upstreams of which only one message has come, the oldest first. */
    private final Set<String> heardOnce = new LinkedHashSet<>();

    private long revision;

    private static final class Row {
        Heartbeat heartbeat;
        long revision;
        long lastHeartbeatMillis;
        long lastDirectMillis = Long.MIN_VALUE;
        long departedMillis = Long.MIN_VALUE;

        Row(Heartbeat heartbeat) {
            this.heartbeat = heartbeat;
        }
    }

    /** Returns the revision of the last change. */
    public long revision() {
        return revision;
    }

    /**
     * Applies a heartbeat received directly from the upstream.
     *
     * @return whether anything other than the sequence changed
     */
    public boolean acceptDirect(Heartbeat heartbeat, long nowMillis) {
        boolean changed = accept(heartbeat, nowMillis);
        Row row = rows.get(heartbeat.id());
        if (row != null && row.heartbeat.equals(heartbeat)) {
            row.lastDirectMillis = nowMillis;
        }
        return changed;
    }

    /**
     * Applies a heartbeat, received directly or from another control instance.
     *
     * @return whether anything other than the sequence changed
     */
    public boolean accept(Heartbeat heartbeat, long nowMillis) {
        if (!HeartbeatValidator.isValid(heartbeat)) {
            return false;
        }
        Row row = rows.get(heartbeat.id());
        if (row == null) {
            row = new Row(heartbeat);
            makeRoom();
            rows.put(heartbeat.id(), row);
            heardOnce.add(heartbeat.id());
            row.lastHeartbeatMillis = nowMillis;
            row.revision = ++revision;
            return true;
        }
        if (!isExpired(row, nowMillis) && heartbeat.contradicts(row.heartbeat)) {
            return false;
        }
        if (!heartbeat.isAfter(row.heartbeat)) {
            if (heartbeat.incarnation() == row.heartbeat.incarnation()
                    && heartbeat.sequence() == row.heartbeat.sequence()) {
                row.lastHeartbeatMillis = nowMillis;
            }
            return false;
        }
        heardOnce.remove(heartbeat.id());
        row.lastHeartbeatMillis = nowMillis;
        boolean changed = heartbeat.differsFrom(row.heartbeat);
        row.heartbeat = heartbeat.replacing(row.heartbeat);
        if (changed) {
            row.revision = ++revision;
        }
        return changed;
    }

    /** Removes an upstream if the table is full, before one that was heard of more than once. */
    private void makeRoom() {
        if (rows.size() < MAX_UPSTREAMS) {
            return;
        }
        Iterator<String> oldest =
                heardOnce.isEmpty() ? rows.keySet().iterator() : heardOnce.iterator();
        String removed = oldest.next();
        heardOnce.remove(removed);
        rows.remove(removed);
    }

    /**
     * Marks one incarnation of an upstream as gone. The departure of an incarnation that is not
     * known here is kept as well, because another control instance may know it.
     *
     * @param incarnation 0 for the latest known incarnation
     * @return the departure; null if a later incarnation is known, or if none is known and none was
     *     given
     */
    public @Nullable Heartbeat markGone(String id, long incarnation, long nowMillis) {
        Row row = rows.get(id);
        if (row == null && incarnation == 0) {
            return null;
        }
        boolean isKnown =
                row != null && (incarnation == 0 || incarnation == row.heartbeat.incarnation());
        Heartbeat departure =
                row != null && isKnown
                        ? row.heartbeat.departure()
                        : Heartbeat.departureOf(id, incarnation);
        accept(departure, nowMillis);
        Row departed = rows.get(id);
        if (departed == null || departed.heartbeat.isAfter(departure)) {
            return null;
        }
        departed.departedMillis = nowMillis;
        return departed.heartbeat;
    }

    /** Returns the heartbeats of the upstreams that changed after a revision. */
    public List<Heartbeat> changedSince(long since) {
        List<Heartbeat> changed = new ArrayList<>();
        for (Row row : rows.values()) {
            if (row.revision > since) {
                changed.add(row.heartbeat);
            }
        }
        return changed;
    }

    /** Returns the newest heartbeats received directly from upstreams since a time. */
    public List<Heartbeat> receivedDirectlySince(long sinceMillis) {
        List<Heartbeat> received = new ArrayList<>();
        for (Row row : rows.values()) {
            if (row.lastDirectMillis >= sinceMillis) {
                received.add(row.heartbeat);
            }
        }
        return received;
    }

    /** Returns the departures of upstreams that announced them here since a time. */
    public List<Heartbeat> departuresSince(long sinceMillis) {
        List<Heartbeat> departures = new ArrayList<>();
        for (Row row : rows.values()) {
            if (row.heartbeat.hasDeparted() && row.departedMillis >= sinceMillis) {
                departures.add(row.heartbeat);
            }
        }
        return departures;
    }

    /** Removes upstreams whose last heartbeat or departure is older than the retention time. */
    public void removeExpired(long nowMillis) {
        Collection<Row> all = rows.values();
        for (Iterator<Row> it = all.iterator(); it.hasNext(); ) {
            Row row = it.next();
            if (isExpired(row, nowMillis)) {
                it.remove();
                heardOnce.remove(row.heartbeat.id());
            }
        }
    }

    private static boolean isExpired(Row row, long nowMillis) {
        return nowMillis - row.lastHeartbeatMillis > RETENTION_MILLIS;
    }
}
