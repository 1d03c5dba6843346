package dev.jayturn.core.transport;

/** Sends messages without guarantees: they may be lost, delayed, duplicated or reordered. */
public interface Transport {
    /** Sends a message to the named instance, which may be the sender itself. */
    void send(String to, Message message);
}
