package dev.jayturn.core.dispatch;

import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.directory.UpstreamState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.jspecify.annotations.Nullable;

/** The upstreams that an entry instance may send to, by service. */
public final class UpstreamRegistry {
    private final Map<String, UpstreamLoad> readyById = new LinkedHashMap<>();
    private final Map<String, Heartbeat> newestHeartbeats = new HashMap<>();
    private final Map<String, Heartbeat> addressOwners = new HashMap<>();
    private final ToLongFunction<String> cacheTokens;

    /**
     * Creates an empty book.
     *
     * @param cacheTokens tokens that an upstream of a service keeps, by the service's name
     */
    public UpstreamRegistry(ToLongFunction<String> cacheTokens) {
        this.cacheTokens = cacheTokens;
    }

    /**
     * Takes a heartbeat in any order.
     *
     * @return the load record of an upstream that takes no new work any more, if there is one
     */
    public @Nullable UpstreamLoad accept(Heartbeat heartbeat) {
        Heartbeat before = newestHeartbeats.get(heartbeat.id());
        if (before != null && !heartbeat.isAfter(before)) {
            return null;
        }
        boolean sameLife = before != null && before.incarnation() == heartbeat.incarnation();
        if (before != null && sameLife && before.state() == UpstreamState.GONE) {
            return null;
        }
        newestHeartbeats.put(heartbeat.id(), heartbeat);
        if (!assignAddress(heartbeat)) {
            return null;
        }
        if (heartbeat.state() != UpstreamState.READY) {
            return readyById.remove(heartbeat.id());
        }
        UpstreamLoad known = readyById.get(heartbeat.id());
        boolean sameAddress =
                known != null && known.heartbeat().address().equals(heartbeat.address());
        if (known != null && sameLife && sameAddress) {
            known.update(heartbeat);
            return null;
        }
        readyById.put(
                heartbeat.id(),
                new UpstreamLoad(heartbeat, cacheTokens.applyAsLong(heartbeat.service())));
        return known;
    }

    /** Returns whether no later life has the address; an earlier one that had it is forgotten. */
    private boolean assignAddress(Heartbeat heartbeat) {
        Heartbeat owner = addressOwners.get(heartbeat.address());
        boolean other = owner != null && !owner.id().equals(heartbeat.id());
        if (other && owner != null && owner.incarnation() > heartbeat.incarnation()) {
            return false;
        }
        if (other && owner != null) {
            readyById.remove(owner.id());
        }
        addressOwners.put(heartbeat.address(), heartbeat);
        return true;
    }

    /** Forgets an upstream that turned out not to be at its address any more. */
    public void remove(UpstreamLoad upstream) {
        readyById.remove(upstream.heartbeat().id(), upstream);
    }

    /** Returns the upstreams of a service that take new work. */
    public List<UpstreamLoad> ofService(String service) {
        List<UpstreamLoad> found = new ArrayList<>();
        for (UpstreamLoad upstream : readyById.values()) {
            if (upstream.heartbeat().service().equals(service)) {
                found.add(upstream);
            }
        }
        return found;
    }

    /** Returns all upstreams that take new work. */
    public Collection<UpstreamLoad> all() {
        return readyById.values();
    }
}
