package dev.jayturn.daemon.journal;

import dev.jayturn.daemon.loop.FatalErrors;
import java.io.IOException;

/** Learns of the failures of a journal, on the thread of its owner. */
public interface JournalListener {
    /** Called when a write or sync has failed and the one before has not. */
    default void onFailed(IOException cause) {}

    /**
     * Called when writes succeed again.
     *
     * @param failedMillis time since the first failure
     */
    default void onRecovered(long failedMillis, int failedAttempts) {}

    /**
     * Called when the file no longer holds what was durable, as it was removed or cut. Writes fail
     * until the owner rewrites the journal. Ends the process, which starts again as a new member.
     */
    default void onLost() {
        FatalErrors.endProcess("the file of a journal has been removed or cut", null);
    }

    /** Called when memory holds too much that is not durable. Ends the process. */
    default void onOverflow(long pendingBytes) {
        FatalErrors.endProcess(pendingBytes + " bytes wait for the journal", null);
    }
}
