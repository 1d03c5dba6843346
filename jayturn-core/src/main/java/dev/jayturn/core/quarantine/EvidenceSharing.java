package dev.jayturn.core.quarantine;

import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Transport;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Sends evidence to other instances shortly after it has changed, and all that is not cleared again
 * from time to time, so that instances that start later or missed a message learn it too.
 */
public final class EvidenceSharing {
    private static final long SEND_DELAY_MILLIS = 50;
    private static final long REPEAT_INTERVAL_MILLIS = 1_500;
    private static final int MAX_PARTS_OF_A_MESSAGE = 64;

    private final String self;
    private final EvidenceTable table;
    private final Transport transport;
    private final TimerService timers;
    private final Supplier<? extends Collection<String>> receivers;
    private final Set<String> changedParts = new LinkedHashSet<>();
    private boolean sendPending;

    /**
     * Starts to share the evidence of a table.
     *
     * @param receivers addresses of the instances to send to; read each time
     */
    public EvidenceSharing(
            String self,
            EvidenceTable table,
            Transport transport,
            TimerService timers,
            Supplier<? extends Collection<String>> receivers) {
        this.self = self;
        this.table = table;
        this.transport = transport;
        this.timers = timers;
        this.receivers = receivers;
        timers.every(REPEAT_INTERVAL_MILLIS, this::repeat);
    }

    /** Schedules a message with the evidence on parts that have changed. */
    public void onChanged(Collection<String> parts) {
        changedParts.addAll(parts);
        if (!sendPending && !changedParts.isEmpty()) {
            sendPending = true;
            timers.schedule(SEND_DELAY_MILLIS, this::sendChanged);
        }
    }

    private void sendChanged() {
        sendPending = false;
        List<String> parts =
                changedParts.stream().limit(MAX_PARTS_OF_A_MESSAGE).collect(Collectors.toList());
        parts.forEach(changedParts::remove);
        send(parts);
        onChanged(List.of());
    }

    private void repeat() {
        table.removeExpired(timers.nowMillis());
        List<String> suspects = table.suspectParts();
        send(suspects.subList(0, Math.min(suspects.size(), MAX_PARTS_OF_A_MESSAGE)));
    }

    private void send(List<String> parts) {
        List<PartEvidence> evidence = table.evidence(parts, timers.nowMillis());
        if (evidence.isEmpty()) {
            return;
        }
        EvidenceShare share = new EvidenceShare(self, evidence);
        for (String receiver : receivers.get()) {
            if (!receiver.equals(self)) {
                transport.send(receiver, share);
            }
        }
    }
}
