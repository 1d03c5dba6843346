package dev.jayturn.core.fleet;

import dev.jayturn.core.slice.ClockReading;
import dev.jayturn.core.slice.SliceStatus;
import dev.jayturn.core.transport.Message;
import java.util.List;

/**
 * The state that an entry instance reports to a control instance several times a second.
 *
 * @param from link address of the entry instance
 * @param dataCentre data centre of the entry instance
 * @param holder incarnation of the entry instance, as the holder of slices
 * @param started clocks of the entry instance when this incarnation started
 * @param promised clocks of the entry instance when it last promised to draw no more than its marks
 *     for the length of a lease. Sent only together with the slices, since the marks raised with
 *     the lease have to cover what was drawn by then. The boot ID is empty if there is no promise.
 * @param configurationVersion version of the configuration in use
 * @param tableEpoch epoch of the receiver's upstream table that the entry instance last received
 * @param tableRevision revision of that table up to which changes were received without a gap
 * @param peersKnown hash of the entry instances that it knows
 * @param slices empty for control instances that are not the leader
 * @param leaving whether the entry instance is shutting down and spends no more tokens
 * @param sentAtMillis monotonic clock of the entry instance when it sent the report, in
 *     milliseconds; shows how long ago the other two readings were taken. 0 in reports of instances
 *     that do not send it.
 */
public record EntryReport(
        String from,
        String dataCentre,
        String holder,
        ClockReading started,
        ClockReading promised,
        long configurationVersion,
        long tableEpoch,
        long tableRevision,
        int peersKnown,
        List<SliceStatus> slices,
        boolean leaving,
        long sentAtMillis)
        implements Message {}
