package dev.jayturn.core.configuration;

/** What may be repeated on a route. */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** Runs at most once. */
    NON_IDEMPOTENT,
    /** Answered by a series of events; runs at most once unless the route can be resumed. */
    STREAM
}
