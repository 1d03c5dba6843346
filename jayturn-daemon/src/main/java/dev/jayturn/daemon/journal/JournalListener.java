package dev.jayturn.daemon.journal;

import java.io.IOException;

/** Learns of the failures of a journal, on the thread of its owner. */
public interface JournalListener {
    /**
     * Called when a write or sync has failed.
     *
     * @param pendingMillis age of the oldest operation that is not durable
     */
    void onFailed(IOException cause, long pendingMillis);
}
