package dev.jayturn.core.control;

import dev.jayturn.core.consensus.Command;
import dev.jayturn.core.consensus.StateMachine;
import dev.jayturn.core.journal.JournalRecord;
import dev.jayturn.core.membership.RulesSource;
import dev.jayturn.core.transport.Message;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The rules that a control instance gives out: none that it could forget were in force, were it to
 * restart while it is cut off.
 */
public final class PublishedRules implements StateMachine, RulesSource {
    private final ControlState state;
    private Runnable onChange = () -> {};
    private long publishedVersion;
    private long newestVersionIndex;

    public PublishedRules(ControlState state) {
        this.state = state;
    }

    /** Sets what is called when another version can be given out. */
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
