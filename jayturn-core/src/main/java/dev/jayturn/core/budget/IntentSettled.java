package dev.jayturn.core.budget;

import dev.jayturn.core.transport.Message;

/** Answers {@link SettleIntent}: the intent is durably closed. */
public record IntentSettled(String ledger, String intentId) implements Message {}
