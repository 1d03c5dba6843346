package dev.jayturn.core.dispatch;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** Strategy that chooses an upstream for a request. */
public interface PlacementPolicy {
    /**
     * Chooses an upstream for a request.
     *
     * @param upstreams those that accept new requests and that the request was not sent to yet
     * @return null if there is none
     */
    @Nullable Choice choose(RequestProfile profile, List<UpstreamLoad> upstreams, long nowMillis);

    /**
     * The chosen upstream.
     *
     * @param expectedMillis expected time to the first event or answer
     */
    record Choice(UpstreamLoad upstream, double expectedMillis) {}
}
