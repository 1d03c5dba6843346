package dev.jayturn.daemon.fleet;

import dev.jayturn.daemon.eventlog.EventLog;
import dev.jayturn.daemon.journal.JournalListener;
import java.io.IOException;

/** Logs when a journal fails and when it works again, and has it written again if it is lost. */
final class JournalLog implements JournalListener {
    private final EventLog log;
    private final Runnable rewrite;

    /**
     * Creates a listener.
     *
     * @param rewrite writes the whole state to the journal
     */
    JournalLog(EventLog log, Runnable rewrite) {
        this.log = log;
        this.rewrite = rewrite;
    }

    @Override
    public void onLost() {
        log.event("journal.lost", json -> {});
        rewrite.run();
    }

    @Override
    public void onFailed(IOException cause) {
        log.event(
                "journal.failed",
                json -> json.writeStringField("reason", String.valueOf(cause.getMessage())));
    }

    @Override
    public void onRecovered(long failedMillis, int failedAttempts) {
        log.event(
                "journal.recovered",
                json -> {
                    json.writeNumberField("failed", failedMillis);
                    json.writeNumberField("attempts", failedAttempts);
                });
    }
}
