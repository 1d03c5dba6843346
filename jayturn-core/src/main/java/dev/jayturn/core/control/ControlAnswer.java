package dev.jayturn.core.control;

import dev.jayturn.core.transport.Message;

/** Answers {@link ControlRequest}. */
public record ControlAnswer(String requestId, ControlOutcome outcome) implements Message {}
