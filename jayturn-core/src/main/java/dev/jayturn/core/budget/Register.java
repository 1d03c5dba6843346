package dev.jayturn.core.budget;

import dev.jayturn.core.transport.Message;

/** Registers an incarnation of an instance with a ledger and renews its lease. */
public record Register(String instance, long incarnation) implements Message {}
