package dev.jayturn.core.quarantine;

import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.ChangeSharing;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import java.util.Collection;
import java.util.List;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** Sends evidence to other instances when it has changed, and all that is not cleared again. */
public final class EvidenceSharing implements ChangeSharing.Source {
    /** Suspects of a message to a single instance. */
    private static final int MAX_SUSPECTS = 64;

    private final String self;
    private final EvidenceTable table;
    private final TimerService timers;
    private final Transport transport;
    private final ChangeSharing changes;

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
        this.timers = timers;
        this.transport = transport;
        this.changes = new ChangeSharing(self, this, transport, timers, receivers);
    }

    /** Schedules a message with the evidence on suspects that have changed. */
    public void onChanged(Collection<String> suspects) {
        changes.onChanged(suspects);
    }

    /**
     * Sends all evidence to an instance that has started or is in touch for the first time, and
     * asks for its own. Evidence is kept in memory only: until the next repeat, that instance or
     * this one may be the last to hold it.
     */
    public void exchangeWith(String instance) {
        List<String> suspects = table.suspects();
        Message all = message(suspects.subList(0, Math.min(suspects.size(), MAX_SUSPECTS)));
        if (all != null) {
            transport.send(instance, all);
        }
        transport.send(instance, new EvidenceShare(self, List.of()));
    }

    @Override
    public Collection<String> repeatedKeys() {
        table.removeExpired(timers.nowMillis());
        return table.suspects();
    }

    @Override
    public @Nullable Message message(Collection<String> suspects) {
        List<PartEvidence> evidence = table.evidence(suspects, timers.nowMillis());
        return evidence.isEmpty() ? null : new EvidenceShare(self, evidence);
    }
}
