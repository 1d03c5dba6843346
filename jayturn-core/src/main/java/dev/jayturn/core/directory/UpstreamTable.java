package dev.jayturn.core.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The newest heartbeat of each upstream. Rows bear the revision of their last change, so that a
 * reader is sent only what changed since the revision that it holds.
 */
public final class UpstreamTable {
    /** How long a departed or silent upstream is remembered, so that late heartbeats are known. */
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

    /** Returns the number of the last change. */
    public long revision() {
        return revision;
    }

    /** Takes a heartbeat from the upstream itself; returns whether it changed what is known. */
    public boolean acceptDirect(Heartbeat heartbeat, long nowMillis) {
        boolean changed = accept(heartbeat, nowMillis);
        Row row = rows.get(heartbeat.id());
        if (row != null && row.heartbeat.equals(heartbeat)) {
            row.lastDirectMillis = nowMillis;
        }
        return changed;
    }

    /** Takes a heartbeat from anybody; returns whether it changed what is known beside the time. */
    public boolean accept(Heartbeat heartbeat, long nowMillis) {
        Row row = rows.get(heartbeat.id());
        if (row == null) {
            row = new Row(heartbeat);
            rows.put(heartbeat.id(), row);
            row.lastHeartbeatMillis = nowMillis;
            row.revision = ++revision;
            return true;
        }
        boolean sameLife = heartbeat.incarnation() == row.heartbeat.incarnation();
        if (!heartbeat.isAfter(row.heartbeat)) {
            if (sameLife && heartbeat.sequence() == row.heartbeat.sequence()) {
                row.lastHeartbeatMillis = nowMillis;
            }
            return false;
        }
        if (sameLife && row.heartbeat.state() == UpstreamState.GONE) {
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
     * Marks one life of an upstream as gone.
     *
     * @param incarnation 0 for whichever life is known
     * @return its last words, null if that life is unknown
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

    /** Returns the rows changed after a revision. */
    public List<Heartbeat> changedSince(long since) {
        List<Heartbeat> changed = new ArrayList<>();
        for (Row row : rows.values()) {
            if (row.revision > since) {
                changed.add(row.heartbeat);
            }
        }
        return changed;
    }

    /** Returns what upstreams themselves said here after a time. */
    public List<Heartbeat> receivedDirectlySince(long sinceMillis) {
        List<Heartbeat> heard = new ArrayList<>();
        for (Row row : rows.values()) {
            if (row.lastDirectMillis >= sinceMillis) {
                heard.add(row.heartbeat);
            }
        }
        return heard;
    }

    /** Forgets what has not been heard of for long. */
    public void removeExpired(long nowMillis) {
        Collection<Row> all = rows.values();
        for (Iterator<Row> it = all.iterator(); it.hasNext(); ) {
            if (nowMillis - it.next().lastHeartbeatMillis > RETENTION_MILLIS) {
                it.remove();
            }
        }
    }
}
