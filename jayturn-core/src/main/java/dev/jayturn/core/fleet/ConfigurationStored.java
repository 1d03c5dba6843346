package dev.jayturn.core.fleet;

import dev.jayturn.core.journal.JournalRecord;
import java.util.Map;

/**
 * The configuration in force, as stored in a snapshot.
 *
 * @param document the compressed configuration
 * @param prepaid prepaid tokens of the customers with a budget
 */
public record ConfigurationStored(long version, byte[] document, Map<String, Long> prepaid)
        implements JournalRecord {}
