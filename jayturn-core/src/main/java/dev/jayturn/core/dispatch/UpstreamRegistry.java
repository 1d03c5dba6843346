package dev.jayturn.core.dispatch;

import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.directory.HeartbeatValidator;
import dev.jayturn.core.directory.UpstreamState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.jspecify.annotations.Nullable;

/** The upstreams that accept new requests, as an entry instance knows them from heartbeats. */
public final class UpstreamRegistry {
    /** Limits the memory; departed upstreams are forgotten first. */
    private static final int MAX_UPSTREAMS = 16_000;

    private final Map<String, UpstreamLoad> readyById = new LinkedHashMap<>();
    private final Map<String, Heartbeat> newestHeartbeats = new LinkedHashMap<>();
    private final Map<String, Heartbeat> addressOwners = new HashMap<>();

    /** Incarnations that said in a response that they are leaving, by id. */
    private final Map<String, Long> leavingIncarnations = new HashMap<>();

    private final ToLongFunction<String> cacheTokens;
    private long versionChanges;

    /**
     * Creates an empty registry.
     *
     * @param cacheTokens returns the cache size of an upstream in tokens, by the name of its
     *     service
     */
    public UpstreamRegistry(ToLongFunction<String> cacheTokens) {
        this.cacheTokens = cacheTokens;
    }

    /**
     * Applies a heartbeat; older ones than already applied are ignored, and invalid ones.
     *
     * @return the upstream of the same id that this heartbeat removed or replaced, null if there is
     *     none
     */
    public @Nullable UpstreamLoad accept(Heartbeat heartbeat) {
        if (!HeartbeatValidator.isValid(heartbeat)) {
            return null;
        }
        Heartbeat previous = newestHeartbeats.get(heartbeat.id());
        boolean isNews = previous == null ? tryMakeRoom() : heartbeat.isAfter(previous);
        if (!isNews) {
            return null;
        }
        if (previous != null
                && !previous.softwareVersion().equals(heartbeat.softwareVersion())
                && !heartbeat.hasDeparted()) {
            versionChanges++;
        }
        newestHeartbeats.put(
                heartbeat.id(), previous == null ? heartbeat : heartbeat.replacing(previous));
        boolean ownsAddress = !heartbeat.hasDeparted() && assignAddress(heartbeat);
        boolean isReady = heartbeat.state() == UpstreamState.READY && !isLeaving(heartbeat);
        if (!ownsAddress || !isReady) {
            return readyById.remove(heartbeat.id());
        }
        boolean sameIncarnation =
                previous != null && previous.incarnation() == heartbeat.incarnation();
        UpstreamLoad known = readyById.get(heartbeat.id());
        boolean sameAddress =
                known != null && known.heartbeat().address().equals(heartbeat.address());
        if (known != null && sameIncarnation && sameAddress) {
            known.update(heartbeat);
            return null;
        }
        readyById.put(
                heartbeat.id(),
                new UpstreamLoad(heartbeat, cacheTokens.applyAsLong(heartbeat.service())));
        return known;
    }

    /** Forgets an upstream that gets no requests if there are too many; false if there is none. */
    private boolean tryMakeRoom() {
        if (newestHeartbeats.size() < MAX_UPSTREAMS) {
            return true;
        }
        if (readyById.size() == newestHeartbeats.size()) {
            return false;
        }
        for (Heartbeat known : newestHeartbeats.values()) {
            if (!readyById.containsKey(known.id())) {
                newestHeartbeats.remove(known.id());
                leavingIncarnations.remove(known.id());
                Heartbeat owner = addressOwners.get(known.address());
                if (owner != null && owner.id().equals(known.id())) {
                    addressOwners.remove(known.address());
                }
                return true;
            }
        }
        return false;
    }

    /**
     * Assigns the address of an upstream to it, and removes an upstream of an earlier incarnation
     * that had the address.
     *
     * @return false if an upstream of a later incarnation has the address
     */
    private boolean assignAddress(Heartbeat heartbeat) {
        Heartbeat owner = addressOwners.get(heartbeat.address());
        boolean hasOtherOwner = owner != null && !owner.id().equals(heartbeat.id());
        if (hasOtherOwner && owner != null && owner.incarnation() > heartbeat.incarnation()) {
            return false;
        }
        if (hasOtherOwner && owner != null) {
            readyById.remove(owner.id());
        }
        addressOwners.put(heartbeat.address(), heartbeat);
        return true;
    }

    /**
     * Records that an upstream said in a response that it is leaving. It gets no more requests,
     * whatever its heartbeats say, which may be delayed or from a control instance that has not
     * heard of it yet. A later incarnation with the same id is not affected.
     *
     * @return whether this is the first such response of this incarnation
     */
    public boolean markLeaving(UpstreamLoad upstream) {
        Heartbeat heartbeat = upstream.heartbeat();
        if (isLeaving(heartbeat)) {
            return false;
        }
        leavingIncarnations.put(heartbeat.id(), heartbeat.incarnation());
        readyById.remove(heartbeat.id(), upstream);
        return true;
    }

    private boolean isLeaving(Heartbeat heartbeat) {
        Long leaving = leavingIncarnations.get(heartbeat.id());
        return leaving != null && heartbeat.incarnation() <= leaving;
    }

    /** Returns whether an upstream still accepts new requests in the incarnation given. */
    public boolean isReady(UpstreamLoad upstream) {
        return readyById.get(upstream.heartbeat().id()) == upstream;
    }

    /** Returns how often an upstream has come back under its id with another software version. */
    public long versionChanges() {
        return versionChanges;
    }

    /** Returns the newest heartbeat with the id of another one, which may be of a later start. */
    public Heartbeat newestOf(Heartbeat heartbeat) {
        return newestHeartbeats.getOrDefault(heartbeat.id(), heartbeat);
    }

    /** Returns the upstreams of a service that accept new requests. */
    public List<UpstreamLoad> ofService(String service) {
        List<UpstreamLoad> found = new ArrayList<>();
        for (UpstreamLoad upstream : readyById.values()) {
            if (upstream.heartbeat().service().equals(service)) {
                found.add(upstream);
            }
        }
        return found;
    }

    /** Returns all upstreams that accept new requests. */
    public Collection<UpstreamLoad> all() {
        return readyById.values();
    }
}
