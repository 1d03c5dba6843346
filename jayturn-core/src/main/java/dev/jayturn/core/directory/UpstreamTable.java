package dev.jayturn.core.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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

    private final Map<String, Row> rows = new LinkedHashMap<>();
    private long revision;

    private static final class Row {
        Heartbeat heartbeat;
        long revision;
        long lastHeartbeatMillis;
        long lastDirectMillis = Long.MIN_VALUE;

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
        Row row = rows.get(heartbeat.id());
        if (row == null) {
            row = new Row(heartbeat);
            rows.put(heartbeat.id(), row);
            row.lastHeartbeatMillis = nowMillis;
            row.revision = ++revision;
            return true;
        }
        boolean sameIncarnation = heartbeat.incarnation() == row.heartbeat.incarnation();
        if (!heartbeat.isAfter(row.heartbeat)) {
            if (sameIncarnation && heartbeat.sequence() == row.heartbeat.sequence()) {
                row.lastHeartbeatMillis = nowMillis;
            }
            return false;
        }
        if (sameIncarnation && row.heartbeat.state() == UpstreamState.GONE) {
            return false;
        }
        row.lastHeartbeatMillis = nowMillis;
        boolean changed = heartbeat.differsFrom(row.heartbeat);
        row.heartbeat = heartbeat;
        if (changed) {
            row.revision = ++revision;
        }
        return changed;
    }

    /**
     * Marks one incarnation of an upstream as gone.
     *
     * @param incarnation 0 for the latest known incarnation
     * @return its last heartbeat in state {@link UpstreamState#GONE}; null if the incarnation is
     *     not the latest known one
     */
    public @Nullable Heartbeat markGone(String id, long incarnation, long nowMillis) {
        Row row = rows.get(id);
        if (row == null) {
            return null;
        }
        if (incarnation != 0 && row.heartbeat.incarnation() != incarnation) {
            return null;
        }
        if (row.heartbeat.state() != UpstreamState.GONE) {
            row.heartbeat = row.heartbeat.withState(UpstreamState.GONE);
            row.lastHeartbeatMillis = nowMillis;
            row.revision = ++revision;
        }
        return row.heartbeat;
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

    /** Removes upstreams whose last heartbeat or departure is older than the retention time. */
    public void removeExpired(long nowMillis) {
        Collection<Row> all = rows.values();
        for (Iterator<Row> it = all.iterator(); it.hasNext(); ) {
            if (nowMillis - it.next().lastHeartbeatMillis > RETENTION_MILLIS) {
                it.remove();
            }
        }
    }
}
