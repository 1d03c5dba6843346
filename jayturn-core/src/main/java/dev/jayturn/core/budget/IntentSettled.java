package dev.jayturn.core.budget;

import dev.jayturn.core.transport.Message;

/** Answers {@link SettleIntent}: the intent is durably settled. */
public record IntentSettled(String ledger, String intentId) implements Message {}
