package dev.jayturn.daemon.fleet;

import dev.jayturn.daemon.eventlog.EventLog;
import dev.jayturn.daemon.journal.JournalListener;
import java.io.IOException;

/** Logs the failures of a journal. */
final class JournalLog implements JournalListener {
    private final EventLog log;

    JournalLog(EventLog log) {
        this.log = log;
    }

    @Override
    public void onFailed(IOException cause, long pendingMillis) {
        log.event(
                "journal.failed",
                json -> {
                    json.writeStringField("reason", String.valueOf(cause.getMessage()));
                    json.writeNumberField("pending", pendingMillis);
                });
    }
}
