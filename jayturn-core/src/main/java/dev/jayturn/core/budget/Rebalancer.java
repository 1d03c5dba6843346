package dev.jayturn.core.budget;

import dev.jayturn.core.transport.Transport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Moves tokens between ledgers before they are missed, so that every data centre would run dry at
 * about the same time if the links broke now.
 */
final class Rebalancer {
    private static final double SMOOTHING_FACTOR = 0.003;
    private static final double IDLE_TOKENS_PER_SECOND = 0.01;

    /** Weight that an idle ledger keeps, as a share of the other's demand. */
    private static final double IDLE_DEMAND_SHARE = 0.2;

    /** Smallest transfer, as a share of both holdings. */
    private static final double MIN_TRANSFER_SHARE = 0.02;

    private final LedgerConfig config;
    private final LedgerState state;
    private final Transport transport;
    private final TransferSender transferSender;
    private final Map<String, Demand> demands = new HashMap<>();
    private final Map<String, ShareAck> unacknowledged = new HashMap<>();
    private List<String> peers = List.of();

    /** Sends tokens of a budget to another ledger. */
    interface TransferSender {
        void transfer(String budget, String to, long amount);
    }

    Rebalancer(LedgerConfig config, LedgerState state, Transport transport, TransferSender giver) {
        this.config = config;
        this.state = state;
        this.transport = transport;
        this.transferSender = giver;
    }

    void setPeers(List<String> names) {
        peers = List.copyOf(names);
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

    /** Reports demand and repeats transfers that were not acknowledged. */
    void tick(long periodMillis) {
        List<BudgetDemand> report = new ArrayList<>();
        Iterator<Map.Entry<String, Demand>> entries = demands.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, Demand> entry = entries.next();
            double perSecond = entry.getValue().update(periodMillis);
            if (perSecond < IDLE_TOKENS_PER_SECOND) {
                entries.remove();
                continue;
            }
            long available = state.available(entry.getKey());
            report.add(new BudgetDemand(entry.getKey(), available, perSecond));
        }
        if (!report.isEmpty()) {
            for (String peer : peers) {
                transport.send(peer, new DemandReport(config.name(), report));
            }
        }
        for (ShareAck missing : unacknowledged.values()) {
            resend(missing.budget(), missing.from());
        }
    }

    private void resend(String budget, String to) {
        long total = state.account(budget).sentTo(to);
        transport.send(to, new ShareGive(budget, config.name(), total, 0));
    }

    /** Gives to a ledger whose tokens would last less long than this one's. */
    void rebalance(DemandReport report) {
        for (BudgetDemand theirs : report.demands()) {
            if (unacknowledged.containsKey(theirs.budget() + " " + report.from())) {
                continue;
            }
            long amount = surplus(theirs) / Math.max(1, peers.size());
            transferSender.transfer(theirs.budget(), report.from(), amount);
        }
    }

    private long surplus(BudgetDemand theirs) {
        Demand mine = demands.get(theirs.budget());
        double perSecond = mine == null ? 0 : mine.perSecond;
        double myWeight = Math.max(perSecond, theirs.perSecond() * IDLE_DEMAND_SHARE);
        double theirWeight = Math.max(theirs.perSecond(), perSecond * IDLE_DEMAND_SHARE);
        double holding = state.available(theirs.budget());
        double theirHolding = theirs.available();
        double total = holding + theirHolding;
        double excess = holding - total * myWeight / (myWeight + theirWeight);
        return excess < total * MIN_TRANSFER_SHARE ? 0 : (long) excess;
    }

    private static final class Demand {
        private long tokensSinceTick;
        private double perSecond;

        double update(long periodMillis) {
            double latest = tokensSinceTick * 1000.0 / periodMillis;
            perSecond += SMOOTHING_FACTOR * (latest - perSecond);
            tokensSinceTick = 0;
            return perSecond;
        }
    }
}
