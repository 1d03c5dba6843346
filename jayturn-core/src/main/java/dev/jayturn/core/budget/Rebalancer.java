package dev.jayturn.core.budget;

import dev.jayturn.core.transport.Transport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Transfers tokens between ledgers in proportion to demand and ahead of need, so that all data
 * centres would exhaust their tokens at about the same time if they were partitioned now.
 */
final class Rebalancer {
    /** Weight of the latest tick in the smoothed demand. */
    private static final double SMOOTHING_FACTOR = 0.003;

    /** Demand below which a budget is no longer reported. */
    private static final double IDLE_TOKENS_PER_SECOND = 0.01;

    /** Minimum weight of a ledger, as a share of the other ledger's demand. */
    private static final double IDLE_DEMAND_SHARE = 0.2;

    /** Minimum transfer, as a share of the available tokens of both ledgers. */
    private static final double MIN_TRANSFER_SHARE = 0.02;

    private final LedgerConfig config;
    private final LedgerState state;
    private final Transport transport;
    private final TransferSender transferSender;
    private final Map<String, Demand> demands = new HashMap<>();

    /**
     * The awaited acknowledgement of each transfer in flight, by budget and receiver. Only the
     * budget and the receiver of a value are used; its total is always 0.
     */
    private final Map<String, ShareAck> unacknowledged = new HashMap<>();

    private List<String> peers = List.of();

    /** Transfers tokens of a budget to another ledger. */
    interface TransferSender {
        void transfer(String budget, String to, long amount);
    }

    Rebalancer(
            LedgerConfig config,
            LedgerState state,
            Transport transport,
            TransferSender transferSender) {
        this.config = config;
        this.state = state;
        this.transport = transport;
        this.transferSender = transferSender;
    }

    void setPeers(List<String> ledgers) {
        peers = List.copyOf(ledgers);
    }

    void recordDemand(String budget, long tokens) {
        demands.computeIfAbsent(budget, b -> new Demand()).tokensSinceTick += tokens;
    }

    void awaitAcknowledgement(String budget, String to) {
        unacknowledged.put(budget + " " + to, new ShareAck(budget, to, 0));
    }

    void acknowledge(ShareAck ack) {
        long sent = state.account(ack.budget()).sentTo(ack.from());
        if (ack.sentTotal() >= sent) {
            unacknowledged.remove(ack.budget() + " " + ack.from());
        }
    }

    /** Reports demand to the other ledgers and resends unacknowledged transfers. */
    void tick(long periodMillis) {
        List<BudgetDemand> report = new ArrayList<>();
        Iterator<Map.Entry<String, Demand>> iterator = demands.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<String, Demand> entry = iterator.next();
            double tokensPerSecond = entry.getValue().update(periodMillis);
            if (tokensPerSecond < IDLE_TOKENS_PER_SECOND) {
                iterator.remove();
                continue;
            }
            long available = state.available(entry.getKey());
            report.add(new BudgetDemand(entry.getKey(), available, tokensPerSecond));
        }
        if (!report.isEmpty()) {
            for (String peer : peers) {
                transport.send(peer, new DemandReport(config.id(), report));
            }
        }
        for (ShareAck transfer : unacknowledged.values()) {
            resend(transfer.budget(), transfer.from());
        }
    }

    private void resend(String budget, String to) {
        long total = state.account(budget).sentTo(to);
        transport.send(to, new ShareGive(budget, config.id(), total, 0));
    }

    /** Transfers tokens to a ledger whose tokens would be exhausted before this ledger's own. */
    void rebalance(DemandReport report) {
        for (BudgetDemand theirs : report.demands()) {
            if (unacknowledged.containsKey(theirs.budget() + " " + report.from())) {
                continue;
            }
            long amount = surplus(theirs) / Math.max(1, peers.size());
            transferSender.transfer(theirs.budget(), report.from(), amount);
        }
    }

    /**
     * Returns by how many tokens this ledger exceeds its share, if the available tokens of both
     * ledgers were split in proportion to demand; 0 if that is too little to transfer.
     */
    private long surplus(BudgetDemand theirs) {
        Demand own = demands.get(theirs.budget());
        double ownPerSecond = own == null ? 0 : own.tokensPerSecond;
        double ownWeight = Math.max(ownPerSecond, theirs.perSecond() * IDLE_DEMAND_SHARE);
        double theirWeight = Math.max(theirs.perSecond(), ownPerSecond * IDLE_DEMAND_SHARE);
        double available = state.available(theirs.budget());
        double theirAvailable = theirs.available();
        double total = available + theirAvailable;
        double excess = available - total * ownWeight / (ownWeight + theirWeight);
        return excess < total * MIN_TRANSFER_SHARE ? 0 : (long) excess;
    }

    private static final class Demand {
        private long tokensSinceTick;
        private double tokensPerSecond;

        double update(long periodMillis) {
            double latest = tokensSinceTick * 1000.0 / periodMillis;
            tokensPerSecond += SMOOTHING_FACTOR * (latest - tokensPerSecond);
            tokensSinceTick = 0;
            return tokensPerSecond;
        }
    }
}
