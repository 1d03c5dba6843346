package dev.jayturn.daemon.peer;

import dev.jayturn.core.transport.Message;

/** Handles received messages, on the control loop. */
public interface MessageSink {
    /**
     * Delivers a message.
     *
     * @param to name of the receiving instance, optionally with the identity of its store
     */
    void deliver(String to, Message message);
}
