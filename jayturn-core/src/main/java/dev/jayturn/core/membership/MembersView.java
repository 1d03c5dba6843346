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

/** What an instance knows of the upstreams of its data centre. */
public final class MembersView {
    private final TimerService timers;
    private final long leaseMillis;
    private final Map<String, KnownUpstream> upstreamsById = new HashMap<>();
    private String hub = "";
    private long epoch;
    private long version;

    private static final class KnownUpstream {
        private Upstream upstream;
        private UpstreamLoad load;
        private long lastDirectMillis;

        KnownUpstream(Upstream upstream) {
            this.upstream = upstream;
            this.load = new UpstreamLoad(upstream.id(), 0, 0);
        }
    }

    /** Starts with no upstreams; the lease is for announcements that come without a hub. */
    public MembersView(TimerService timers, long leaseMillis) {
        this.timers = timers;
        this.leaseMillis = leaseMillis;
    }

    /** Returns the hub's epoch that the version belongs to. */
    public long epoch() {
        return epoch;
    }

    /** Returns the version known; 0 asks the hub for the whole. */
    public long version() {
        return version;
    }

    /** Applies a hub's step; one that does not follow makes the next subscription ask anew. */
    public void apply(MembersUpdate update) {
        boolean whole = update.fromVersion() == 0;
        boolean follows = update.epoch() == epoch && update.fromVersion() <= version;
        if (!whole && !follows) {
            version = 0;
            return;
        }
        for (Upstream upstream : update.changed()) {
            putIfNewer(upstream);
        }
        for (String id : update.gone()) {
            upstreamsById.remove(id);
        }
        if (whole && update.settled()) {
            retainListed(update.changed());
        }
        for (UpstreamLoad load : update.loads()) {
            KnownUpstream entry = upstreamsById.get(load.id());
            if (entry != null) {
                entry.load = load;
            }
        }
        hub = update.hub();
        epoch = update.epoch();
        version = Math.max(whole ? 0 : version, update.toVersion());
    }

    /** Takes an announcement that a peer passed on or that was made here. */
    public void applyAnnouncement(Announce announce) {
        KnownUpstream entry = putIfNewer(announce.upstream());
        entry.load = new UpstreamLoad(entry.upstream.id(), announce.running(), announce.queued());
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

    /** Forgets what a hub's whole list lacks, but for upstreams that were heard of directly. */
    private void retainListed(List<Upstream> listed) {
        Set<String> ids = new HashSet<>();
        for (Upstream upstream : listed) {
            ids.add(upstream.id());
        }
        long since = timers.nowMillis() - leaseMillis;
        upstreamsById
                .values()
                .removeIf(e -> !ids.contains(e.upstream.id()) && e.lastDirectMillis < since);
    }

    /** Returns an upstream; null if it is unknown. */
    public @Nullable Upstream find(String id) {
        KnownUpstream entry = upstreamsById.get(id);
        return entry == null ? null : entry.upstream;
    }

    /** Returns the last load report of an upstream. */
    public UpstreamLoad load(String id) {
        KnownUpstream entry = upstreamsById.get(id);
        return entry == null ? new UpstreamLoad(id, 0, 0) : entry.load;
    }

    /** Returns the upstreams of a service that take new work, and that have the model if named. */
    public List<Upstream> available(String service, String model) {
        List<Upstream> found = new ArrayList<>();
        for (KnownUpstream entry : upstreamsById.values()) {
            Upstream upstream = entry.upstream;
            boolean fits = model.isEmpty() || upstream.models().contains(model);
            if (!upstream.leaving() && upstream.service().equals(service) && fits) {
                found.add(upstream);
            }
        }
        return found;
    }

    /** Returns all upstreams known. */
    public Collection<Upstream> all() {
        List<Upstream> all = new ArrayList<>();
        for (KnownUpstream entry : upstreamsById.values()) {
            all.add(entry.upstream);
        }
        return all;
    }

    /** Returns the hub that the members came from; empty before the first step. */
    public String hub() {
        return hub;
    }
}
