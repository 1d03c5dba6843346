package dev.jayturn.core.fleet;

import dev.jayturn.core.slice.ClockReading;
import dev.jayturn.core.slice.SliceStatus;
import dev.jayturn.core.transport.Message;
import java.util.List;

/**
 * What an entry instance tells a control instance several times a second.
 *
 * @param from link address of the entry instance
 * @param dataCentre where it stands
 * @param holder its incarnation, as the holder of slices
 * @param started its clocks when it began
 * @param promised its clocks when it last promised to draw no more than its marks for the length of
 *     a lease, beside its slices only: the marks raised with the lease have to cover what it has
 *     drawn by then; a blank boot if there is none
 * @param configurationVersion the version that it obeys
 * @param tableEpoch life of the control instance whose table it has followed
 * @param tableRevision revision up to which it has followed that table
 * @param peersKnown hash of the entry instances that it knows of
 * @param slices empty for control instances that do not lead
 * @param leaving whether it will spend nothing more
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
        boolean leaving)
        implements Message {}
