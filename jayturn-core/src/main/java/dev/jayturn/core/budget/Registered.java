package dev.jayturn.core.budget;

import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.transport.Message;

/**
 * Answers {@link Register}.
 *
 * @param incarnation the registered incarnation; on a refusal, the one that the instance's next
 *     incarnation must exceed
 */
public record Registered(String ledger, long incarnation, ResultCode code) implements Message {}
