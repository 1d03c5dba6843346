package dev.jayturn.core.control;

import dev.jayturn.core.consensus.Command;
import dev.jayturn.core.consensus.StateMachine;
import dev.jayturn.core.journal.JournalRecord;
import dev.jayturn.core.membership.RulesSource;
import dev.jayturn.core.transport.Message;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The rules that a control instance publishes. A version is published only once its commit is
 * durable at this instance; otherwise an instance that restarts during a partition would not know
 * that a version which it has published is committed.
 */
public final class PublishedRules implements StateMachine, RulesSource {
    private final ControlState state;
    private Runnable onChange = () -> {};
    private long publishedVersion;
    private long newestVersionIndex;

    public PublishedRules(ControlState state) {
        this.state = state;
    }

    /** Sets the listener that is called when a new version can be published. */
    public void onChange(Runnable listener) {
        onChange = listener;
    }

    @Override
    public Object apply(long index, Command command) {
        if (command instanceof ApplyRules) {
            newestVersionIndex = index;
        }
        return state.apply(index, command);
    }

    @Override
    public void onCommitDurable(long index) {
        if (index >= newestVersionIndex && state.version() != publishedVersion) {
            publishedVersion = state.version();
            onChange.run();
        }
    }

    @Override
    public List<JournalRecord> snapshot() {
        return state.snapshot();
    }

    @Override
    public void restore(List<JournalRecord> items) {
        state.restore(items);
    }

    @Override
    public long version() {
        return publishedVersion;
    }

    @Override
    public @Nullable Message updateFrom(long version) {
        return state.version() == publishedVersion ? state.updateFrom(version) : null;
    }
}
