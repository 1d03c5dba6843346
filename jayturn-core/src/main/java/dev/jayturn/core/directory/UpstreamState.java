package dev.jayturn.core.directory;

/** Whether an upstream takes new work. */
public enum UpstreamState {
    READY,
    DRAINING,
    GONE
}
