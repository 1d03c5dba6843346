package dev.jayturn.core.control;

import dev.jayturn.core.consensus.Command;
import dev.jayturn.core.transport.Message;

/**
 * Asks the leader to commit a command.
 *
 * @param forwarded whether another control instance forwarded the message
 */
public record ControlRequest(String requestId, String from, Command command, boolean forwarded)
        implements Message {}
