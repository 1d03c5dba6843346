package dev.jayturn.core.control;

import java.util.List;

/**
 * The outcome of {@link MeetBills}.
 *
 * @param repeated intents of calls that another intent was billed for before
 */
public record BillComparison(List<String> repeated) {}
