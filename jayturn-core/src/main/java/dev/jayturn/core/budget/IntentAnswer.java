package dev.jayturn.core.budget;

import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.transport.Message;

/** Answers {@link OpenIntent}; {@link ResultCode#OK} means that the reservation is durable. */
public record IntentAnswer(String ledger, String intentId, ResultCode code) implements Message {}
