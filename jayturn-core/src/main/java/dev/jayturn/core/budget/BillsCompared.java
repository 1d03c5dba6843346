package dev.jayturn.core.budget;

import dev.jayturn.core.transport.Message;
import java.util.List;

/**
 * Answers {@link CompareBills}.
 *
 * @param compared ids of the intents whose bills were compared
 * @param repeated ids of those whose bills are void, because the same call was billed before
 */
public record BillsCompared(List<String> compared, List<String> repeated) implements Message {}
