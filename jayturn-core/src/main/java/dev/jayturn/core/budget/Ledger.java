package dev.jayturn.core.budget;

import dev.jayturn.core.journal.Journal;
import dev.jayturn.core.journal.JournalRecord;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The ledger of a data centre. It reserves tokens for requests before they are sent upstream, bills
 * each request once, and transfers tokens to and from the other ledgers. Every change is durable
 * before it is answered.
 */
public final class Ledger {
    private static final long TICK_INTERVAL_MILLIS = 1_000;
    private static final int MAX_BILLS_PER_COMPARISON = 2_000;
    private static final long COMPACTION_THRESHOLD_RECORDS = 500_000;

    private final LedgerConfig config;
    private final Journal journal;
    private final Transport transport;
    private final TimerService timers;
    private final LedgerState state = new LedgerState();
    private final TokenCollector tokenCollector;
    private final Rebalancer rebalancer;
    private final Takeover takeover;
    private final Map<String, Long> lastContactMillis = new HashMap<>();

    /** Recovers a ledger from its journal's records. */
    public Ledger(
            LedgerConfig config,
            List<? extends JournalRecord> records,
            Journal journal,
            Transport transport,
            TimerService timers) {
        this.config = config;
        this.journal = journal;
        this.transport = transport;
        this.timers = timers;
        for (JournalRecord entry : records) {
            state.apply(entry);
        }
        this.tokenCollector =
                new TokenCollector(config, state, transport, timers, this::reserveAndAnswer);
        this.rebalancer = new Rebalancer(config, state, transport, this::transfer);
        this.takeover = new Takeover(config, state, transport, this::settleSealedIntent);
        for (String instance : state.currentIncarnations().keySet()) {
            lastContactMillis.put(instance, timers.nowMillis());
        }
        timers.every(TICK_INTERVAL_MILLIS, this::tick);
    }

    /** Returns the state that the journal's records build; callers must not change it. */
    public LedgerState state() {
        return state;
    }

    /** Returns this ledger's identity, see {@link LedgerConfig#id}. */
    public String id() {
        return config.id();
    }

    /** Sets the identities of the other ledgers. */
    public void setPeers(List<String> peers) {
        tokenCollector.setPeers(peers);
        rebalancer.setPeers(peers);
    }

    /** Handles a message to the ledger; ignores messages of other types. */
    public void handle(Message message) {
        if (message instanceof OpenIntent open) {
            openIntent(open);
        } else if (message instanceof SettleIntent settle) {
            settleIntent(settle);
        } else if (message instanceof Register register) {
            register(register);
        } else if (message instanceof ShareAsk ask) {
            answerShareAsk(ask);
        } else if (message instanceof ShareGive transfer) {
            receiveTransfer(transfer);
        } else if (message instanceof ShareAck ack) {
            rebalancer.acknowledge(ack);
        } else if (message instanceof GrantTotals totals) {
            recordGrants(totals);
        } else if (message instanceof DemandReport report) {
            rebalancer.rebalance(report);
        } else if (message instanceof StreamCancelled cancelled) {
            takeover.onStreamCancelled(cancelled);
        } else if (message instanceof BillsCompared compared) {
            recordComparison(compared);
        } else if (message instanceof LedgerQuery query) {
            transport.send(query.from(), LedgerReading.of(config.id(), state, query));
        }
    }

    private void openIntent(OpenIntent open) {
        lastContactMillis.put(open.instance(), timers.nowMillis());
        ResultCode refusal = checkOpen(open);
        if (refusal != ResultCode.OK) {
            answer(open, refusal);
            return;
        }
        if (state.findOpen(open.intentId()) != null) {
            journal.whenDurable(() -> answer(open, ResultCode.OK));
            return;
        }
        rebalancer.recordDemand(open.budget(), open.reserve());
        if (state.available(open.budget()) >= open.reserve()) {
            reserveAndAnswer(open);
            return;
        }
        tokenCollector.enqueue(open);
    }

    private ResultCode checkOpen(OpenIntent open) {
        boolean current = state.currentIncarnation(open.instance()) == open.incarnation();
        if (!current || state.isSealed(open.instance(), open.incarnation())) {
            return ResultCode.INSTANCE_SEALED;
        }
        // A late copy of a settled intent must not let its request be sent upstream again.
        return state.findBill(open.intentId()) == null ? ResultCode.OK : ResultCode.INTENT_CLOSED;
    }

    private void reserveAndAnswer(OpenIntent open) {
        ResultCode refusal = checkOpen(open);
        if (refusal != ResultCode.OK) {
            answer(open, refusal);
            return;
        }
        record(IntentOpened.from(open), () -> answer(open, ResultCode.OK));
    }

    private void answer(OpenIntent open, ResultCode code) {
        transport.send(open.instance(), new IntentAnswer(config.id(), open.intentId(), code));
    }

    private void settleIntent(SettleIntent settle) {
        IntentSettled reply = new IntentSettled(config.id(), settle.intentId());
        Runnable answer = () -> transport.send(settle.replyTo(), reply);
        if (state.findOpen(settle.intentId()) != null) {
            record(new IntentClosed(settle.intentId(), settle.tokens()), answer);
            return;
        }
        tokenCollector.remove(settle.intentId());
        journal.whenDurable(answer);
    }

    private void settleSealedIntent(String intentId, long tokens) {
        record(new IntentClosed(intentId, tokens), () -> {});
    }

    private void register(Register register) {
        String instance = register.instance();
        long current = state.currentIncarnation(instance);
        boolean sealed = state.isSealed(instance, register.incarnation());
        if (register.incarnation() < current || sealed) {
            long newestIncarnation = Math.max(current, register.incarnation());
            sendRegistered(instance, newestIncarnation, ResultCode.INSTANCE_SEALED);
            return;
        }
        lastContactMillis.put(instance, timers.nowMillis());
        if (register.incarnation() == current) {
            sendRegistered(instance, current, ResultCode.OK);
            return;
        }
        if (current > 0) {
            // An instance runs one incarnation at a time, so the previous one has ended.
            record(new IncarnationSealed(instance, current), () -> {});
        }
        record(
                new IncarnationStarted(instance, register.incarnation()),
                () -> sendRegistered(instance, register.incarnation(), ResultCode.OK));
    }

    private void sendRegistered(String instance, long incarnation, ResultCode code) {
        transport.send(instance, new Registered(config.id(), incarnation, code));
    }

    private void answerShareAsk(ShareAsk ask) {
        long amount = TransferPolicy.transferAmount(ask.need(), state.available(ask.budget()));
        long total = state.account(ask.budget()).sentTo(ask.from()) + amount;
        sendTransferTotal(ask.budget(), ask.from(), total, ask.round());
    }

    private void transfer(String budget, String to, long amount) {
        if (amount > 0 && state.available(budget) >= amount) {
            sendTransferTotal(budget, to, state.account(budget).sentTo(to) + amount, 0);
        }
    }

    private void sendTransferTotal(String budget, String to, long total, long round) {
        ShareGive share = new ShareGive(budget, config.id(), total, round);
        Runnable send = () -> transport.send(to, share);
        if (total > state.account(budget).sentTo(to)) {
            rebalancer.awaitAcknowledgement(budget, to);
            record(new ShareSent(budget, to, total), send);
            return;
        }
        journal.whenDurable(send);
    }

    private void receiveTransfer(ShareGive transfer) {
        ShareAck ack = new ShareAck(transfer.budget(), config.id(), transfer.sentTotal());
        Runnable send = () -> transport.send(transfer.from(), ack);
        long previousTotal = state.account(transfer.budget()).receivedFrom(transfer.from());
        if (transfer.sentTotal() > previousTotal) {
            record(new ShareTaken(transfer.budget(), transfer.from(), transfer.sentTotal()), send);
        } else if (transfer.sentTotal() > 0) {
            journal.whenDurable(send);
        }
        tokenCollector.onAnswer(transfer.budget(), transfer.from(), transfer.round());
    }

    private void recordGrants(GrantTotals totals) {
        int last = totals.totals().size() - 1;
        for (int i = 0; i <= last; i++) {
            GrantTotal grant = totals.totals().get(i);
            // Only the last grant advances the index, so that a crash in between loses no grant.
            long index = i == last ? totals.index() : 0;
            boolean grew = grant.total() > state.account(grant.budget()).granted();
            if (grew || index > state.grantIndex()) {
                record(new GrantNoted(grant.budget(), grant.total(), index), () -> {});
            }
        }
        tokenCollector.onControlAnswer(totals);
        if (last + 1 == GrantTotals.MAX_TOTALS) {
            transport.send(
                    config.controlInstance(), new GrantPull(config.id(), state.grantIndex(), 0));
        }
    }

    private void recordComparison(BillsCompared answer) {
        for (String intentId : answer.repeated()) {
            record(new BillRepeated(intentId), () -> {});
        }
        for (String intentId : answer.compared()) {
            record(new BillMet(intentId), () -> {});
        }
    }

    private void compareBills() {
        List<KeyedBill> bills = state.uncomparedBills(MAX_BILLS_PER_COMPARISON);
        if (!bills.isEmpty()) {
            journal.whenDurable(
                    () ->
                            transport.send(
                                    config.controlInstance(),
                                    new CompareBills(config.id(), bills, false)));
        }
    }

    private void tick() {
        transport.send(config.controlInstance(), new GrantPull(config.id(), state.grantIndex(), 0));
        long oldestContactMillis = timers.nowMillis() - config.incarnationLeaseMillis();
        for (Map.Entry<String, Long> current : Map.copyOf(state.currentIncarnations()).entrySet()) {
            sealIfExpired(current.getKey(), current.getValue(), oldestContactMillis);
        }
        takeover.tick();
        compareBills();
        rebalancer.tick(TICK_INTERVAL_MILLIS);
        if (journal.recordsSinceRewrite() > COMPACTION_THRESHOLD_RECORDS) {
            journal.rewrite(state.snapshot());
        }
    }

    private void sealIfExpired(String instance, long incarnation, long oldestContactMillis) {
        long contactMillis = lastContactMillis.getOrDefault(instance, 0L);
        if (contactMillis < oldestContactMillis && !state.isSealed(instance, incarnation)) {
            record(new IncarnationSealed(instance, incarnation), () -> {});
        }
    }

    private void record(JournalRecord entry, Runnable onDurable) {
        state.apply(entry);
        journal.append(entry, onDurable);
    }
}
