package dev.jayturn.core.directory;

/**
 * Whether an upstream accepts new requests. The order matters to {@link Heartbeat#isAfter}: at the
 * same sequence, a later state replaces an earlier one.
 */
public enum UpstreamState {
    READY,
    /** Accepts no new requests, but has not departed yet. */
    DRAINING,
    /** Has departed; final for the incarnation. */
    GONE
}
