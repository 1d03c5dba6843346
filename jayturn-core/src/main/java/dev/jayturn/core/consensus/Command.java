package dev.jayturn.core.consensus;

/** A command of the replicated log; implementations are records. */
public interface Command {
    /** Returns the size of the part that may be large, in bytes; bounds the messages of the log. */
    default int payloadBytes() {
        return 0;
    }
}
