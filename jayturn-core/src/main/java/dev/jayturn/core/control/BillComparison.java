package dev.jayturn.core.control;

import java.util.List;

/**
 * The outcome of {@link MeetBills}.
 *
 * @param repeated ids of the compared intents whose calls were billed before, for another intent
 */
public record BillComparison(List<String> repeated) {}
