package dev.jayturn.core.evacuation;

import dev.jayturn.core.dispatch.Dispatcher;
import dev.jayturn.core.dispatch.UpstreamFilter;
import dev.jayturn.core.dispatch.UpstreamLoad;
import dev.jayturn.core.result.ResultCode;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The emptied data centres as an entry instance knows them, whose upstreams get no requests. A set
 * replaces only those of lower revisions: control instances that lag still send theirs.
 */
public final class EvacuationView implements UpstreamFilter {
    private Set<String> emptied = Set.of();
    private long revision;
    private Listener listener = (newRevision, newEmptied) -> {};

    /** Receives the emptied data centres when they have changed. */
    public interface Listener {
        /**
         * Called after a newer set has come into force.
         *
         * @param revision index of the last order in it
         */
        void onEmptied(long revision, List<String> emptied);
    }

    /** Sets the listener. */
    public void setListener(Listener newListener) {
        listener = newListener;
    }

    /**
     * Applies the set that a control instance sent.
     *
     * @param names null from an instance that does not send the set
     */
    public void onUpdate(long newRevision, @Nullable List<String> names) {
        if (names == null || newRevision <= revision) {
            return;
        }
        revision = newRevision;
        Set<String> newEmptied = Set.copyOf(names);
        if (!newEmptied.equals(emptied)) {
            emptied = newEmptied;
            listener.onEmptied(newRevision, names);
        }
    }

    /** Returns the index of the last order that is known; 0 if none is. */
    public long revision() {
        return revision;
    }

    /** Returns the number of emptied data centres. */
    public int emptiedCount() {
        return emptied.size();
    }

    /** Returns whether the upstreams of a data centre get no requests. */
    public boolean isEmptied(String dataCentre) {
        return emptied.contains(dataCentre);
    }

    @Override
    public boolean isRestrictive(Dispatcher.Query query) {
        return !emptied.isEmpty();
    }

    @Override
    public boolean admits(Dispatcher.Query query, UpstreamLoad upstream) {
        return !isEmptied(upstream.heartbeat().dataCentre());
    }

    @Override
    public ResultCode refusal() {
        return ResultCode.DATA_CENTRES_EMPTIED;
    }
}
