package dev.jayturn.core.dispatch;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** Chooses an upstream for a request. */
public interface PlacementPolicy {
    /** Chooses among the upstreams that take new work and have not had the request yet. */
    @Nullable Choice choose(RequestProfile work, List<UpstreamLoad> upstreams, long nowMillis);

    /**
     * An upstream and why it was chosen.
     *
     * @param expectedMillis expected time to the first event or answer
     */
    record Choice(UpstreamLoad upstream, double expectedMillis) {}
}
