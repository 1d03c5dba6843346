package dev.jayturn.core.control;

import dev.jayturn.core.journal.JournalRecord;
import dev.jayturn.core.rules.RuleDelta;

/** An accepted version of the rules; a snapshot record and an entry of the history. */
public record RulesVersion(
        long version, String changeId, String operator, long atMillis, RuleDelta delta)
        implements JournalRecord {}
