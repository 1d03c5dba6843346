package dev.jayturn.daemon.operator;

import java.util.function.Consumer;

/** Answers administrative requests. */
public interface AdminApi {
    /** Handles a request and gives one reply, on any thread. */
    void handle(AdminRequest request, Consumer<AdminResponse> reply);
}
