package dev.jayturn.core.budget;

import dev.jayturn.core.transport.Message;
import java.util.List;

/**
 * Asks the leader to compare a ledger's keyed bills with those of all other ledgers.
 *
 * @param forwarded whether another control instance forwarded the message
 */
public record CompareBills(String ledger, List<KeyedBill> bills, boolean forwarded)
        implements Message {}
