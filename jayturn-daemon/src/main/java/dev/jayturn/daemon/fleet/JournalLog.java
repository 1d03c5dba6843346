package dev.jayturn.daemon.fleet;

import dev.jayturn.daemon.eventlog.EventLog;
import dev.jayturn.daemon.journal.JournalListener;
import java.io.IOException;

/** Logs when a journal fails and when it works again. */
final class JournalLog implements JournalListener {
    private final EventLog log;

    JournalLog(EventLog log) {
        this.log = log;
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
