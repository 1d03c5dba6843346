package dev.jayturn.core.fleet;

import dev.jayturn.core.slice.ClockReading;
import dev.jayturn.core.slice.SliceStatus;
import java.util.HashMap;
import java.util.Map;

/** What a control instance knows of one entry instance, from its reports and what it was sent. */
final class EntryInstanceState {
    String holder = "";
    String dataCentre = "";
    long lastReportMillis;
    long configurationVersion;
    long sentDocumentMillis = Long.MIN_VALUE / 2;
    long sentDocumentVersion;

    /** Revision of the table of upstreams that it has followed by its own word. */
    long confirmedTableRevision;

    /** Revision up to which it was sent changes; believed until it says otherwise. */
    long sentTableRevision;

    long sentTableMillis;
    ClockReading startedAt = new ClockReading("", 0, 0);
    ClockReading promisedAt = new ClockReading("", 0, 0);
    long firstReportWallMillis;
    boolean leaving;
    int knownPeersHash;
    int sentPeersHash;
    long sentPeersMillis = Long.MIN_VALUE / 2;
    Map<String, SliceStatus> sliceStatuses = new HashMap<>();
    Map<String, Long> recalls = new HashMap<>();

    /** Issued totals that it was told, by customer. */
    final Map<String, Long> sentIssuedTotals = new HashMap<>();

    /** Returns whether a request there waits for tokens. */
    boolean hasShortage() {
        for (SliceStatus status : sliceStatuses.values()) {
            if (status.largestShortage() > 0) {
                return true;
            }
        }
        return false;
    }

    /** Takes a report, of this incarnation or the first of another. */
    void applyReport(EntryReport report, long nowMillis, long wallMillis) {
        if (!holder.equals(report.holder())) {
            sliceStatuses = new HashMap<>();
            sentIssuedTotals.clear();
            sentDocumentVersion = 0;
            sentTableRevision = 0;
            sentPeersHash = 0;
            startedAt = report.started();
            promisedAt = report.promised();
            firstReportWallMillis = wallMillis;
        }
        holder = report.holder();
        dataCentre = report.dataCentre();
        lastReportMillis = nowMillis;
        configurationVersion = report.configurationVersion();
        leaving = report.leaving();
        if (!report.promised().bootId().isEmpty()) {
            promisedAt = report.promised();
        }
        knownPeersHash = report.peersKnown();
        for (SliceStatus status : report.slices()) {
            sliceStatuses.put(status.customer(), status);
        }
    }
}
