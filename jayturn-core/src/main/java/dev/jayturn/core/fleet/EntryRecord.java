package dev.jayturn.core.fleet;

import dev.jayturn.core.slice.ClockReading;
import dev.jayturn.core.slice.SliceStatus;
import java.util.HashMap;
import java.util.Map;

/** What a control instance knows of one entry instance, from its reports and what it was sent. */
final class EntryRecord {
    String holder = "";
    String dataCentre = "";
    long heardMillis;
    long version;
    long documentSentMillis = Long.MIN_VALUE / 2;
    long documentSentVersion;

    /** Revision of the table of upstreams that it has followed by its own word. */
    long tableRevision;

    /** Revision up to which it was sent changes; believed until it says otherwise. */
    long tableSentRevision;

    long tableSentMillis;
    ClockReading started = new ClockReading("", 0, 0);
    ClockReading promised = new ClockReading("", 0, 0);
    long firstWallMillis;
    boolean leaving;
    int peersKnown;
    int peersSent;
    long peersSentMillis = Long.MIN_VALUE / 2;
    Map<String, SliceStatus> slices = new HashMap<>();
    Map<String, Long> recalls = new HashMap<>();

    /** Issued totals that it was told, by customer. */
    final Map<String, Long> issuedTold = new HashMap<>();

    /** Returns whether a request there waits for tokens. */
    boolean isShort() {
        for (SliceStatus status : slices.values()) {
            if (status.largestShortage() > 0) {
                return true;
            }
        }
        return false;
    }

    /** Takes a report, of this incarnation or the first of another. */
    void accept(EntryReport report, long nowMillis, long wallMillis) {
        if (!holder.equals(report.holder())) {
            slices = new HashMap<>();
            issuedTold.clear();
            documentSentVersion = 0;
            tableSentRevision = 0;
            peersSent = 0;
            started = report.started();
            promised = report.promised();
            firstWallMillis = wallMillis;
        }
        holder = report.holder();
        dataCentre = report.dataCentre();
        heardMillis = nowMillis;
        version = report.configurationVersion();
        leaving = report.leaving();
        if (!report.promised().bootId().isEmpty()) {
            promised = report.promised();
        }
        peersKnown = report.peersKnown();
        for (SliceStatus status : report.slices()) {
            slices.put(status.customer(), status);
        }
    }
}
