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
    private static final long SEND_MILLIS = 50;

    /**
     * Unchanged work is told again after this time, so that a lost message does no lasting harm.
     */
    private static final long REPEAT_MILLIS = 400;

    /** What an instance said so long ago no longer counts: it may be dead. */
    private static final long FORGET_MILLIS = 1_500;

    /** With more instances than this nobody is told: messages grow with the square of them. */
    private static final int MAX_PEERS = 16;

    private final String self;
    private final UpstreamBook book;
    private final Transport transport;
    private final TimerService timers;
    private final Map<String, Share> shares = new HashMap<>();
    private List<String> peers = List.of();
    private boolean changed;
    private boolean sendPending;

    private record Share(long atMillis, List<UpstreamWork> work) {}

    public PeerLoads(String self, UpstreamBook book, Transport transport, TimerService timers) {
        this.self = self;
        this.book = book;
        this.transport = transport;
        this.timers = timers;
        timers.every(REPEAT_MILLIS, this::repeat);
    }

    /** Sets the live entry instances. */
    public void setPeers(List<String> addresses) {
        List<String> others = new ArrayList<>(addresses);
        others.remove(self);
        peers = others.size() > MAX_PEERS ? List.of() : others;
    }

    /** Notes that the work of this instance changed. */
    public void noteChange() {
        changed = true;
        if (!sendPending) {
            sendPending = true;
            timers.schedule(SEND_MILLIS, this::send);
        }
    }

    private void repeat() {
        forgetOld();
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
        for (UpstreamLoad upstream : book.all()) {
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
        shares.put(share.from(), new Share(timers.nowMillis(), share.work()));
        addUp();
    }

    private void forgetOld() {
        long since = timers.nowMillis() - FORGET_MILLIS;
        boolean removed = false;
        for (Iterator<Share> it = shares.values().iterator(); it.hasNext(); ) {
            if (it.next().atMillis() < since) {
                it.remove();
                removed = true;
            }
        }
        if (removed) {
            addUp();
        }
    }

    private void addUp() {
        Map<String, UpstreamWork> sums = new HashMap<>();
        for (Share share : shares.values()) {
            for (UpstreamWork work : share.work()) {
                sums.merge(work.upstream(), work, PeerLoads::sum);
            }
        }
        for (UpstreamLoad upstream : book.all()) {
            UpstreamWork work = sums.get(upstream.heartbeat().id());
            if (work == null) {
                upstream.setOthers(0, 0);
            } else {
                upstream.setOthers(work.inFlight(), work.waitingTokens());
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
