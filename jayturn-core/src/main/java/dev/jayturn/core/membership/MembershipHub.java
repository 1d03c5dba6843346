package dev.jayturn.core.membership;

import dev.jayturn.core.random.RandomSource;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Keeps the leases of upstreams on a control instance and sends versioned updates to the subscribed
 * instances, each of which receives the upstreams of its data centre. Changes are pushed
 * immediately, load reports in batches.
 */
public final class MembershipHub {
    private static final long TICK_INTERVAL_MILLIS = 500;
    private static final long SUBSCRIPTION_TIMEOUT_MILLIS = 5_000;
    private static final int MAX_HISTORY_ENTRIES = 4_096;

    private final String name;
    private final long leaseMillis;
    private final long startMillis;
    private long epoch;
    private boolean settled;
    private final Transport transport;
    private final TimerService timers;
    private final RulesSource rules;
    private final Map<String, Lease> leases = new HashMap<>();
    private final Map<String, Subscriber> subscribers = new HashMap<>();
    private final TreeMap<Long, String> changedIdByVersion = new TreeMap<>();
    private final Map<String, LoadReport> pendingLoads = new TreeMap<>();
    private long version = 1;
    private boolean pushPending;

    private static final class Lease {
        private Upstream upstream;
        private long lastRenewalMillis;

        Lease(Upstream upstream, long lastRenewalMillis) {
            this.upstream = upstream;
            this.lastRenewalMillis = lastRenewalMillis;
        }
    }

    private static final class Subscriber {
        private final String dataCentre;
        private long sentVersion;
        private long sentRulesVersion;
        private long heldRulesVersion;
        private long lastSubscribeMillis;

        Subscriber(String dataCentre) {
            this.dataCentre = dataCentre;
        }
    }

    /** Creates and starts a hub with a new epoch, which makes subscribers request the full list. */
    public MembershipHub(
            String name,
            long leaseMillis,
            Transport transport,
            TimerService timers,
            RandomSource random,
            RulesSource rules) {
        this.name = name;
        this.leaseMillis = leaseMillis;
        this.transport = transport;
        this.timers = timers;
        this.rules = rules;
        this.startMillis = timers.nowMillis();
        this.epoch = random.nextLong() >>> 2;
        timers.every(TICK_INTERVAL_MILLIS, this::tick);
    }

    /** Handles a message; other kinds are ignored. */
    public void handle(Message message) {
        if (message instanceof Announce announce) {
            onAnnounce(announce);
        } else if (message instanceof Subscribe subscribe) {
            onSubscribe(subscribe);
        } else if (message instanceof HubQuery query) {
            transport.send(query.from(), new HubReading(query.queryId(), name, instances()));
        }
    }

    /** Returns the upstreams whose leases have not expired. */
    public List<Upstream> upstreams() {
        List<Upstream> all = new ArrayList<>();
        for (Lease lease : leases.values()) {
            all.add(lease.upstream);
        }
        return all;
    }

    /** Pushes newly published rules to all subscribers. */
    public void rulesChanged() {
        schedulePush();
    }

    private List<InstanceStatus> instances() {
        List<InstanceStatus> statuses = new ArrayList<>();
        subscribers.forEach(
                (id, subscriber) ->
                        statuses.add(
                                new InstanceStatus(
                                        id, subscriber.dataCentre, subscriber.heldRulesVersion)));
        return statuses;
    }

    private void onAnnounce(Announce announce) {
        Upstream upstream = announce.upstream();
        Lease lease = leases.get(upstream.id());
        if (lease != null && !upstream.isNewerThan(lease.upstream)) {
            return;
        }
        if (lease == null) {
            lease = new Lease(upstream, timers.nowMillis());
            leases.put(upstream.id(), lease);
            recordChange(upstream.id());
        } else if (!upstream.isSameBut(lease.upstream)) {
            recordChange(upstream.id());
        }
        lease.upstream = upstream;
        lease.lastRenewalMillis = timers.nowMillis();
        pendingLoads.put(
                upstream.id(),
                new LoadReport(upstream.id(), announce.running(), announce.queued()));
    }

    private void recordChange(String id) {
        version++;
        changedIdByVersion.put(version, id);
        if (changedIdByVersion.size() > MAX_HISTORY_ENTRIES) {
            changedIdByVersion.pollFirstEntry();
        }
        schedulePush();
    }

    private void schedulePush() {
        if (!pushPending) {
            pushPending = true;
            timers.schedule(0, this::push);
        }
    }

    private void onSubscribe(Subscribe subscribe) {
        Subscriber subscriber =
                subscribers.computeIfAbsent(
                        subscribe.instance(), i -> new Subscriber(subscribe.dataCentre()));
        subscriber.lastSubscribeMillis = timers.nowMillis();
        subscriber.sentVersion = subscribe.epoch() == epoch ? subscribe.membersVersion() : 0;
        subscriber.sentRulesVersion = subscribe.rulesVersion();
        subscriber.heldRulesVersion = subscribe.rulesVersion();
        transport.send(subscribe.instance(), new HubStatus(name, rules.version(), epoch, version));
        sendUpdates(subscribe.instance(), subscriber, List.of());
    }

    private void push() {
        pushPending = false;
        subscribers.forEach((id, subscriber) -> sendUpdates(id, subscriber, List.of()));
    }

    private void sendUpdates(String id, Subscriber subscriber, List<LoadReport> loads) {
        if (subscriber.sentRulesVersion < rules.version()) {
            Message rulesUpdate = rules.updateFrom(subscriber.sentRulesVersion);
            if (rulesUpdate != null) {
                transport.send(id, rulesUpdate);
                subscriber.sentRulesVersion = rules.version();
            }
        }
        if (subscriber.sentVersion < version || !loads.isEmpty()) {
            transport.send(id, membersUpdateFor(subscriber, loads));
            subscriber.sentVersion = version;
        }
    }

    private MembersUpdate membersUpdateFor(Subscriber subscriber, List<LoadReport> loads) {
        long fromVersion = subscriber.sentVersion;
        boolean incremental =
                fromVersion > 0
                        && (fromVersion == version
                                || changedIdByVersion.containsKey(fromVersion + 1));
        List<Upstream> changed = new ArrayList<>();
        List<String> gone = new ArrayList<>();
        Iterable<String> ids =
                incremental
                        ? new TreeSet<>(changedIdByVersion.tailMap(fromVersion, false).values())
                        : leases.keySet();
        for (String id : ids) {
            Lease lease = leases.get(id);
            if (lease == null) {
                gone.add(id);
            } else if (lease.upstream.dataCentre().equals(subscriber.dataCentre)) {
                changed.add(lease.upstream);
            }
        }
        return new MembersUpdate(
                name, epoch, incremental ? fromVersion : 0, version, changed, gone, loads, settled);
    }

    private void tick() {
        long now = timers.nowMillis();
        if (!settled && now - startMillis > leaseMillis) {
            // With the new epoch, subscribers request the full list and remove the upstreams that
            // have not renewed their leases at this hub.
            settled = true;
            epoch++;
        }
        for (Lease lease : new ArrayList<>(leases.values())) {
            if (now - lease.lastRenewalMillis > leaseMillis) {
                leases.remove(lease.upstream.id());
                recordChange(lease.upstream.id());
            }
        }
        subscribers
                .values()
                .removeIf(
                        subscriber ->
                                now - subscriber.lastSubscribeMillis > SUBSCRIPTION_TIMEOUT_MILLIS);
        List<LoadReport> loads = new ArrayList<>(pendingLoads.values());
        pendingLoads.clear();
        if (!loads.isEmpty()) {
            subscribers.forEach((id, subscriber) -> sendUpdates(id, subscriber, loads));
        }
    }
}
