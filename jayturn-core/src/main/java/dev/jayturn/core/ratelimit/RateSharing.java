package dev.jayturn.core.ratelimit;

import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.ChangeSharing;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** Sends statements of upstreams to other instances when a limit changes, and again later. */
public final class RateSharing implements ChangeSharing.Source {
    private final String self;
    private final RateTable table;
    private final TimerService timers;
    private final ChangeSharing changes;

    /**
     * Starts to share the statements of a table.
     *
     * @param receivers addresses of the instances to send to; read each time
     */
    public RateSharing(
            String self,
            RateTable table,
            Transport transport,
            TimerService timers,
            Supplier<? extends Collection<String>> receivers) {
        this.self = self;
        this.table = table;
        this.timers = timers;
        this.changes = new ChangeSharing(self, this, transport, timers, receivers);
    }

    /** Applies statements from another instance; returns the upstreams whose limit has changed. */
    public List<String> onShare(RateShare share) {
        long now = timers.nowMillis();
        return share.statements().stream()
                .filter(statement -> merge(statement, now) == RateTable.Outcome.CHANGED)
                .map(RateStatement::upstream)
                .toList();
    }

    /** Applies a statement from another instance, and corrects it if it is outdated. */
    RateTable.Outcome merge(RateStatement statement, long nowMillis) {
        RateTable.Outcome outcome = table.merge(statement, nowMillis);
        if (outcome != RateTable.Outcome.UNCHANGED) {
            onChanged(statement.upstream());
        }
        return outcome;
    }

    /** Schedules a message after the limit of an upstream has changed. */
    void onChanged(String upstream) {
        changes.onChanged(Set.of(upstream));
    }

    @Override
    public Collection<String> repeatedKeys() {
        table.removeExpired(timers.nowMillis());
        return table.limitedUpstreams();
    }

    @Override
    public @Nullable Message message(Collection<String> upstreams) {
        List<RateStatement> statements = table.statements(upstreams, timers.nowMillis());
        return statements.isEmpty() ? null : new RateShare(self, statements);
    }
}
