package dev.jayturn.daemon.fleet;

import com.fasterxml.jackson.core.JsonGenerator;
import dev.jayturn.core.evacuation.EvacuationAnswer;
import dev.jayturn.core.evacuation.EvacuationListener;
import dev.jayturn.core.evacuation.EvacuationOrder;
import dev.jayturn.daemon.eventlog.EventLog;
import java.io.IOException;

/** Logs how operators' orders to empty data centres and to take them back are answered. */
final class EvacuationLog implements EvacuationListener {
    private final EventLog log;

    EvacuationLog(EventLog log) {
        this.log = log;
    }

    @Override
    public void onForwarded(long id, EvacuationOrder order, String leader) {
        log.event(
                "evacuation.forwarded",
                json -> {
                    json.writeNumberField("call", id);
                    write(order, json);
                    json.writeStringField("leader", leader);
                });
    }

    @Override
    public void onAnswered(EvacuationOrder order, EvacuationAnswer answer) {
        boolean accepted = answer.sure() && answer.applied();
        log.event(
                accepted ? "evacuation.ordered" : "evacuation.retried",
                json -> {
                    json.writeNumberField("call", answer.id());
                    write(order, json);
                    json.writeBooleanField("sure", answer.sure());
                    json.writeNumberField("held", answer.revision());
                    json.writeStringField("from", answer.from());
                });
    }

    @Override
    public void onUnconfirmed(long id, EvacuationOrder order, String reason, String leader) {
        log.event(
                "evacuation.unconfirmed",
                json -> {
                    json.writeNumberField("call", id);
                    write(order, json);
                    json.writeStringField("reason", reason);
                    json.writeStringField("leader", leader);
                });
    }

    private static void write(EvacuationOrder order, JsonGenerator json) throws IOException {
        json.writeStringField("dataCentre", order.dataCentre());
        json.writeBooleanField("emptied", order.emptied());
        json.writeNumberField("revision", order.revision());
    }
}
