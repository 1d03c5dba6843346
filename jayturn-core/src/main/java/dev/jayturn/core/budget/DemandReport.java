package dev.jayturn.core.budget;

import dev.jayturn.core.transport.Message;
import java.util.List;

/** Reports a ledger's available tokens and demand, for each budget in recent use. */
public record DemandReport(String from, List<BudgetDemand> demands) implements Message {}
