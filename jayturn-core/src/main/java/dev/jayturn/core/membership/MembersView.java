package dev.jayturn.core.membership;

import dev.jayturn.core.timer.TimerService;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The upstreams of a data centre as known to one instance, from its hub and from announcements
 * received directly.
 */
public final class MembersView {
    private final TimerService timers;
    private final long leaseMillis;
    private final Map<String, KnownUpstream> upstreamsById = new HashMap<>();
    private String hub = "";
    private long epoch;
    private long version;

    private static final class KnownUpstream {
        private Upstream upstream;
        private LoadReport load;
        private long lastDirectMillis;

        KnownUpstream(Upstream upstream) {
            this.upstream = upstream;
            this.load = new LoadReport(upstream.id(), 0, 0);
        }
    }

    /**
     * Creates a view without upstreams.
     *
     * @param leaseMillis time for which an announcement received directly keeps an upstream that is
     *     missing from the hub's full list
     */
    public MembersView(TimerService timers, long leaseMillis) {
        this.timers = timers;
        this.leaseMillis = leaseMillis;
    }

    /** Returns the epoch of the hub to which the version belongs. */
    public long epoch() {
        return epoch;
    }

    /** Returns the version of the list; 0 requests the full list from the hub. */
    public long version() {
        return version;
    }

    /**
     * Applies a hub's update. An update that does not follow the current version is dropped, and
     * the next subscription requests the full list.
     */
    public void apply(MembersUpdate update) {
        boolean fullList = update.fromVersion() == 0;
        boolean follows = update.epoch() == epoch && update.fromVersion() <= version;
        if (!fullList && !follows) {
            version = 0;
            return;
        }
        for (Upstream upstream : update.changed()) {
            putIfNewer(upstream);
        }
        for (String id : update.gone()) {
            upstreamsById.remove(id);
        }
        if (fullList && update.settled()) {
            retainListed(update.changed());
        }
        for (LoadReport load : update.loads()) {
            KnownUpstream entry = upstreamsById.get(load.id());
            if (entry != null) {
                entry.load = load;
            }
        }
        hub = update.hub();
        epoch = update.epoch();
        version = Math.max(fullList ? 0 : version, update.toVersion());
    }

    /** Applies an announcement that an upstream made at this instance or that a peer forwarded. */
    public void applyAnnouncement(Announce announce) {
        KnownUpstream entry = putIfNewer(announce.upstream());
        entry.load = new LoadReport(entry.upstream.id(), announce.running(), announce.queued());
        entry.lastDirectMillis = timers.nowMillis();
    }

    private KnownUpstream putIfNewer(Upstream upstream) {
        KnownUpstream entry =
                upstreamsById.computeIfAbsent(upstream.id(), i -> new KnownUpstream(upstream));
        if (upstream.isNewerThan(entry.upstream)) {
            entry.upstream = upstream;
        }
        return entry;
    }

    /**
     * Removes upstreams that are missing from a hub's full list, except those announced directly
     * within the lease.
     */
    private void retainListed(List<Upstream> listed) {
        Set<String> ids = new HashSet<>();
        for (Upstream upstream : listed) {
            ids.add(upstream.id());
        }
        long earliestMillis = timers.nowMillis() - leaseMillis;
        upstreamsById
                .values()
                .removeIf(
                        entry ->
                                !ids.contains(entry.upstream.id())
                                        && entry.lastDirectMillis < earliestMillis);
    }

    /** Returns an upstream; null if it is not known. */
    public @Nullable Upstream find(String id) {
        KnownUpstream entry = upstreamsById.get(id);
        return entry == null ? null : entry.upstream;
    }

    /** Returns the last reported load of an upstream; zero if the upstream is not known. */
    public LoadReport load(String id) {
        KnownUpstream entry = upstreamsById.get(id);
        return entry == null ? new LoadReport(id, 0, 0) : entry.load;
    }

    /**
     * Returns the upstreams of a service that accept new requests.
     *
     * @param model model that the upstreams must have; empty for any
     */
    public List<Upstream> available(String service, String model) {
        List<Upstream> found = new ArrayList<>();
        for (KnownUpstream entry : upstreamsById.values()) {
            Upstream upstream = entry.upstream;
            boolean hasModel = model.isEmpty() || upstream.models().contains(model);
            if (!upstream.leaving() && upstream.service().equals(service) && hasModel) {
                found.add(upstream);
            }
        }
        return found;
    }

    /** Returns all known upstreams. */
    public Collection<Upstream> all() {
        List<Upstream> all = new ArrayList<>();
        for (KnownUpstream entry : upstreamsById.values()) {
            all.add(entry.upstream);
        }
        return all;
    }

    /** Returns the hub that sent the last update; empty before the first one. */
    public String hub() {
        return hub;
    }
}
