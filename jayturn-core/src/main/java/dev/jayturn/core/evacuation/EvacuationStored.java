package dev.jayturn.core.evacuation;

import dev.jayturn.core.journal.JournalRecord;
import java.util.List;

/**
 * The emptied data centres, as stored in a snapshot.
 *
 * @param revision index of the last order that had its effect
 * @param emptied names of the emptied data centres
 */
public record EvacuationStored(long revision, List<String> emptied) implements JournalRecord {}
