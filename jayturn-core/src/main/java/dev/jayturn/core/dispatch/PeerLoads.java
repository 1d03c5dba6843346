package dev.jayturn.core.dispatch;

import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Transport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Tells the other entry instances of the work sent to each upstream and adds up what they tell. The
 * pattern answered: a long prompt from one instance delays all who come after it at that upstream,
 * within a tenth of the time after which the upstream's own report would show it.
 */
public final class PeerLoads {
    private static final long SEND_DELAY_MILLIS = 50;

    /**
     * Unchanged work is told again after this time, so that a lost message does no lasting harm.
     */
    private static final long REPEAT_INTERVAL_MILLIS = 400;

    /** What an instance said so long ago no longer counts: it may be dead. */
    private static final long SHARE_TIMEOUT_MILLIS = 1_500;

    /** With more instances than this nobody is told: messages grow with the square of them. */
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

    public PeerLoads(String self, UpstreamRegistry book, Transport transport, TimerService timers) {
        this.self = self;
        this.upstreams = book;
        this.transport = transport;
        this.timers = timers;
        timers.every(REPEAT_INTERVAL_MILLIS, this::repeat);
    }

    /** Sets the live entry instances. */
    public void setPeers(List<String> addresses) {
        List<String> others = new ArrayList<>(addresses);
        others.remove(self);
        peers = others.size() > MAX_PEERS ? List.of() : others;
    }

    /** Notes that the work of this instance changed. */
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

    /** Takes what another instance tells. */
    public void onShare(LoadShare share) {
        shares.put(share.from(), new ReceivedShare(timers.nowMillis(), share.work()));
        updateTotals();
    }

    private void removeExpired() {
        long since = timers.nowMillis() - SHARE_TIMEOUT_MILLIS;
        boolean removed = false;
        for (Iterator<ReceivedShare> it = shares.values().iterator(); it.hasNext(); ) {
            if (it.next().receivedMillis() < since) {
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
