package dev.jayturn.daemon.operator;

import java.util.function.Consumer;

/** Handles HTTP requests of operators or announcing upstreams. */
public interface AdminApi {
    /** Handles a request and passes one response to the callback, on any thread. */
    void handle(AdminRequest request, Consumer<AdminResponse> callback);
}
