package dev.jayturn.core.dispatch;

import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Transport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Sends the work that this instance has in flight at each upstream to the other entry instances,
 * and adds up what they send. The upstreams' own heartbeats would come too late: a long prompt from
 * one instance delays the later requests of all instances at that upstream within a tenth of the
 * time that a heartbeat takes to show the load.
 */
public final class PeerLoads {
    private static final long SEND_DELAY_MILLIS = 50;

    /**
     * Interval at which the work is sent again after a change, so that a lost message has no
     * lasting effect.
     */
    private static final long REPEAT_INTERVAL_MILLIS = 400;

    /** Shares older than this no longer count: their sender may have crashed. */
    private static final long SHARE_TIMEOUT_MILLIS = 1_500;

    /**
     * With more peers nothing is sent, since the number of messages grows with the square of the
     * number of peers.
     */
    private static final int MAX_PEERS = 16;

    private final String self;
    private final UpstreamRegistry upstreams;
    private final Transport transport;
    private final TimerService timers;
    private final Map<String, ReceivedShare> shares = new HashMap<>();
    private List<String> peers = List.of();
    private boolean changed;
    private boolean sendPending;

    private record ReceivedShare(long receivedMillis, List<UpstreamWork> work) {}

    public PeerLoads(
            String self, UpstreamRegistry upstreams, Transport transport, TimerService timers) {
        this.self = self;
        this.upstreams = upstreams;
        this.transport = transport;
        this.timers = timers;
        timers.every(REPEAT_INTERVAL_MILLIS, this::repeat);
    }

    /** Sets the link addresses of the live entry instances, this one included. */
    public void setPeers(List<String> addresses) {
        List<String> others = new ArrayList<>(addresses);
        others.remove(self);
        peers = others.size() > MAX_PEERS ? List.of() : others;
    }

    /** Schedules a message to the peers after the work of this instance has changed. */
    public void scheduleSend() {
        changed = true;
        if (!sendPending) {
            sendPending = true;
            timers.schedule(SEND_DELAY_MILLIS, this::send);
        }
    }

    private void repeat() {
        removeExpired();
        if (!sendPending && changed) {
            send();
        }
        changed = false;
    }

    private void send() {
        sendPending = false;
        if (peers.isEmpty()) {
            return;
        }
        List<UpstreamWork> work = new ArrayList<>();
        for (UpstreamLoad upstream : upstreams.all()) {
            if (upstream.inFlight() > 0) {
                work.add(
                        new UpstreamWork(
                                upstream.heartbeat().id(),
                                upstream.inFlight(),
                                upstream.waitingTokens()));
            }
        }
        LoadShare share = new LoadShare(self, work);
        for (String peer : peers) {
            transport.send(peer, share);
        }
    }

    /** Replaces the work of another instance. */
    public void onShare(LoadShare share) {
        shares.put(share.from(), new ReceivedShare(timers.nowMillis(), share.work()));
        updateTotals();
    }

    private void removeExpired() {
        long oldestMillis = timers.nowMillis() - SHARE_TIMEOUT_MILLIS;
        boolean removed = false;
        for (Iterator<ReceivedShare> it = shares.values().iterator(); it.hasNext(); ) {
            if (it.next().receivedMillis() < oldestMillis) {
                it.remove();
                removed = true;
            }
        }
        if (removed) {
            updateTotals();
        }
    }

    private void updateTotals() {
        Map<String, UpstreamWork> sums = new HashMap<>();
        for (ReceivedShare share : shares.values()) {
            for (UpstreamWork work : share.work()) {
                sums.merge(work.upstream(), work, PeerLoads::sum);
            }
        }
        for (UpstreamLoad upstream : upstreams.all()) {
            UpstreamWork work = sums.get(upstream.heartbeat().id());
            if (work == null) {
                upstream.setPeerLoad(0, 0);
            } else {
                upstream.setPeerLoad(work.inFlight(), work.waitingTokens());
            }
        }
    }

    private static UpstreamWork sum(UpstreamWork left, UpstreamWork right) {
        return new UpstreamWork(
                left.upstream(),
                left.inFlight() + right.inFlight(),
                left.waitingTokens() + right.waitingTokens());
    }
}
