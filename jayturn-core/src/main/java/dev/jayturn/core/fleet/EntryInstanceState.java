package dev.jayturn.core.fleet;

import dev.jayturn.core.slice.ClockReading;
import dev.jayturn.core.slice.SliceStatus;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * What a control instance knows about one entry instance, from its reports and from the updates
 * sent to it.
 */
final class EntryInstanceState {
    /** Later than any time, and not so late that sums with it overflow. */
    private static final long NEVER = Long.MAX_VALUE / 2;

    /**
     * Time after which the configuration or the list of peers is sent again to an entry instance
     * that still lacks it.
     */
    static final long RESEND_MILLIS = 600;

    /**
     * After this number of copies the configuration is sent again less and less often: it waits on
     * a slow link behind the former ones, or the entry instance cannot apply it.
     */
    private static final int DOCUMENTS_AT_FULL_RATE = 3;

    private static final long MAX_RESEND_MILLIS = 2_000;

    String holder = "";
    String dataCentre = "";
    long lastReportMillis;
    long configurationVersion;
    long sentDocumentMillis = Long.MIN_VALUE / 2;
    long sentDocumentVersion;

    /** Number of times that this version was sent. */
    int sentDocumentCount;

    /** Revision of the upstream table that the entry instance has confirmed in its reports. */
    long confirmedTableRevision;

    /** Revision of the upstream table up to which changes were sent, confirmed or not. */
    long sentTableRevision;

    long sentTableMillis;

    /** Time of the first update after the last reset; {@link #NEVER} if there was none. */
    long firstUpdateMillis = NEVER;

    ClockReading startedAt = new ClockReading("", 0, 0);
    ClockReading promisedAt = new ClockReading("", 0, 0);

    /**
     * Wall clock of this control instance when the entry instance started. Each report gives an
     * estimate that is late by the time the report took; the earliest counts.
     */
    long startedWallMillis;

    /** Wall clock of this control instance when the entry instance made its last promise. */
    long promisedWallMillis;

    /** When the entry instance sent the last report, on its clock; 0 if it does not say so. */
    long lastReportSentMillis;

    boolean leaving;
    int knownPeersHash;
    int sentPeersHash;
    long sentPeersMillis = Long.MIN_VALUE / 2;

    /** The last reported slices, by customer. */
    Map<String, SliceStatus> sliceStatuses = new HashMap<>();

    /** Tokens to recall with the next update, by customer. */
    Map<String, Long> recalls = new HashMap<>();

    /** Issued totals last sent to the entry instance, by customer. */
    final Map<String, Long> sentIssuedTotals = new HashMap<>();

    /** Returns whether a request at the entry instance lacked tokens in its last report. */
    boolean hasShortage() {
        for (SliceStatus status : sliceStatuses.values()) {
            if (status.largestShortage() > 0) {
                return true;
            }
        }
        return false;
    }

    /** Returns the time between a reading of the sender's clocks and the sending of the report. */
    private static long ageMillis(EntryReport report, ClockReading reading) {
        return Math.max(0, report.sentAtMillis() - reading.monotonicMillis());
    }

    /** Records that an update is sent now. */
    void onUpdateSent(long nowMillis) {
        firstUpdateMillis = Math.min(firstUpdateMillis, nowMillis);
    }

    /** Assumes that no update has arrived, so that the next one has all that the others had. */
    void forgetUpdates() {
        sentDocumentVersion = 0;
        sentTableRevision = 0;
        sentPeersHash = 0;
        firstUpdateMillis = NEVER;
    }

    /** Applies a report; the first one of another incarnation resets the state. */
    void applyReport(EntryReport report, long nowMillis, long wallMillis) {
        if (!holder.equals(report.holder())) {
            sliceStatuses = new HashMap<>();
            sentIssuedTotals.clear();
            forgetUpdates();
            startedAt = report.started();
            promisedAt = report.promised();
            startedWallMillis = Long.MAX_VALUE;
        }
        startedWallMillis = Math.min(startedWallMillis, wallMillis - ageMillis(report, startedAt));
        holder = report.holder();
        dataCentre = report.dataCentre();
        lastReportMillis = nowMillis;
        lastReportSentMillis = report.sentAtMillis();
        configurationVersion = report.configurationVersion();
        leaving = report.leaving();
        if (!report.promised().bootId().isEmpty()) {
            promisedAt = report.promised();
            promisedWallMillis = wallMillis - ageMillis(report, promisedAt);
        }
        knownPeersHash = report.peersKnown();
        for (SliceStatus status : report.slices()) {
            sliceStatuses.put(status.customer(), status);
        }
    }

    /**
     * Returns the configuration and records it as sent; null if the entry instance has it or was
     * sent it recently.
     */
    byte @Nullable [] documentToSend(ConfigurationDocument configuration, long nowMillis) {
        boolean sent =
                sentDocumentVersion == configuration.version()
                        && nowMillis - sentDocumentMillis < documentResendMillis();
        if (configurationVersion >= configuration.version() || sent) {
            return null;
        }
        sentDocumentCount =
                sentDocumentVersion == configuration.version() ? sentDocumentCount + 1 : 1;
        sentDocumentVersion = configuration.version();
        sentDocumentMillis = nowMillis;
        return configuration.document();
    }

    private long documentResendMillis() {
        int doublings = Math.max(0, sentDocumentCount - DOCUMENTS_AT_FULL_RATE);
        return Math.min(RESEND_MILLIS << Math.min(doublings, Integer.SIZE), MAX_RESEND_MILLIS);
    }
}
