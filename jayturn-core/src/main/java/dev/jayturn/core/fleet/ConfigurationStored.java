package dev.jayturn.core.fleet;

import dev.jayturn.core.journal.JournalRecord;
import java.util.Map;

/** Snapshot: the configuration in force. */
public record ConfigurationStored(long version, byte[] document, Map<String, Long> prepaid)
        implements JournalRecord {}
