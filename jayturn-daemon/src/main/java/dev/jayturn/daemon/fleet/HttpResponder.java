package dev.jayturn.daemon.fleet;

/** Sends the response to one request; call it once. */
public interface HttpResponder {
    /** Sends a status and a body of the server's content type. */
    void send(int status, byte[] body);
}
