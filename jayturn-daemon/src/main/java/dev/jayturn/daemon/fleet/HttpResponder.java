package dev.jayturn.daemon.fleet;

/** Answers one call, once. */
public interface HttpResponder {
    /** Sends a status and a JSON body. */
    void send(int status, byte[] json);
}
