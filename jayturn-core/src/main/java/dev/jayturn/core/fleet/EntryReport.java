package dev.jayturn.core.fleet;

import dev.jayturn.core.slice.SliceStatus;
import dev.jayturn.core.transport.Message;
import java.util.List;

/**
 * What an entry instance tells a control instance several times a second.
 *
 * @param from link address of the entry instance
 * @param holder its incarnation, as the holder of slices
 * @param configurationVersion the version that it obeys
 * @param tableEpoch life of the control instance whose table it has followed
 * @param tableRevision revision up to which it has followed that table
 * @param slices empty for control instances that do not lead
 * @param leaving whether it will spend nothing more
 */
public record EntryReport(
        String from,
        String holder,
        long configurationVersion,
        long tableEpoch,
        long tableRevision,
        List<SliceStatus> slices,
        boolean leaving)
        implements Message {}
