package dev.jayturn.core.configuration;

/** Whether requests on a route may be executed more than once. */
public enum RequestKind {
    /** May be executed more than once. */
    IDEMPOTENT,
    /** Must be executed at most once. */
    NON_IDEMPOTENT,
    /** Answered by a stream of events; executed at most once unless the route is resumable. */
    STREAM
}
