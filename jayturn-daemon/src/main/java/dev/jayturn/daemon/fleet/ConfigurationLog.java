package dev.jayturn.daemon.fleet;

import dev.jayturn.core.fleet.ConfigurationAnswer;
import dev.jayturn.core.fleet.ConfigurationListener;
import dev.jayturn.daemon.eventlog.EventLog;
import java.util.concurrent.TimeUnit;

/** Logs how operators' calls are answered and which entry instances lack the configuration. */
final class ConfigurationLog implements ConfigurationListener {
    private final EventLog log;
    private final long startedNanos = System.nanoTime();
    private boolean firstConfirmed;

    ConfigurationLog(EventLog log) {
        this.log = log;
    }

    @Override
    public void onCallForwarded(long id, long version, String leader) {
        log.event(
                "configuration.forwarded",
                json -> {
                    json.writeNumberField("call", id);
                    json.writeNumberField("version", version);
                    json.writeStringField("leader", leader);
                });
    }

    @Override
    public void onCallAnswered(ConfigurationAnswer answer) {
        log.event(
                "configuration.answered",
                json -> {
                    json.writeNumberField("call", answer.id());
                    json.writeBooleanField("sure", answer.sure());
                    json.writeNumberField("held", answer.version());
                    json.writeStringField("from", answer.from());
                });
        if (answer.sure() && !firstConfirmed) {
            firstConfirmed = true;
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
            log.event(
                    "configuration.first.confirmed",
                    json -> json.writeNumberField("sinceStart", millis));
        }
    }

    @Override
    public void onCallUnconfirmed(long id, long version, String reason, String leader) {
        log.event(
                "configuration.unconfirmed",
                json -> {
                    json.writeNumberField("call", id);
                    json.writeNumberField("version", version);
                    json.writeStringField("reason", reason);
                    json.writeStringField("leader", leader);
                });
    }

    @Override
    public void onEntryBehind(String entry, long version, long newest, long millis) {
        log.event(
                "entry.behind",
                json -> {
                    json.writeStringField("entry", entry);
                    json.writeNumberField("version", version);
                    json.writeNumberField("newest", newest);
                    json.writeNumberField("millis", millis);
                });
    }

    @Override
    public void onEntryCaughtUp(String entry, long version, long millis) {
        log.event(
                "entry.caught.up",
                json -> {
                    json.writeStringField("entry", entry);
                    json.writeNumberField("version", version);
                    json.writeNumberField("millis", millis);
                });
    }
}
