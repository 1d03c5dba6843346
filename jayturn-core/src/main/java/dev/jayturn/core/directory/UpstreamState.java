package dev.jayturn.core.directory;

/** Whether an upstream accepts new requests. */
public enum UpstreamState {
    READY,
    DRAINING,
    GONE
}
