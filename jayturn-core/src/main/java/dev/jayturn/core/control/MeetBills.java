package dev.jayturn.core.control;

import dev.jayturn.core.budget.KeyedBill;
import dev.jayturn.core.consensus.Command;
import java.util.List;

/**
 * Compares keyed bills of a ledger with those of all ledgers and records them; the outcome is a
 * {@link BillComparison}.
 */
public record MeetBills(String ledger, List<KeyedBill> bills) implements Command {}
