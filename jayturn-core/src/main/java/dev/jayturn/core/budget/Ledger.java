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
 * A data centre's ledger. It reserves tokens for requests before they are sent upstream, bills each
 * once, and trades tokens with the other ledgers. Every change is durable before it is answered.
 */
public final class Ledger {
    private static final long TICK_MILLIS = 1_000;
    private static final int COMPARED_AT_ONCE = 2_000;
    private static final long COMPACT_RECORDS = 500_000;

    private final LedgerConfig config;
    private final Journal journal;
    private final Transport transport;
    private final TimerService timers;
    private final LedgerState state = new LedgerState();
    private final ShareRounds rounds;
    private final Rebalancer rebalancer;
    private final Takeover takeover;
    private final Map<String, Long> heardMillis = new HashMap<>();

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
        this.rounds = new ShareRounds(config, state, transport, timers, this::openNow);
        this.rebalancer = new Rebalancer(config, state, transport, this::give);
        this.takeover = new Takeover(config, state, transport, this::close);
        for (String instance : state.currentIncarnations().keySet()) {
            heardMillis.put(instance, timers.nowMillis());
        }
        timers.every(TICK_MILLIS, this::tick);
    }

    /** Returns what the journal says, for reading. */
    public LedgerState state() {
        return state;
    }

    /** Returns this ledger's identity: its instance and the identity of its store. */
    public String name() {
        return config.name();
    }

    /** Sets the identities of the other ledgers. */
    public void setPeers(List<String> peers) {
        rounds.setPeers(peers);
        rebalancer.setPeers(peers);
    }

    /** Handles a message; other kinds are ignored. */
    public void handle(Message message) {
        if (message instanceof OpenIntent open) {
            open(open);
        } else if (message instanceof SettleIntent settle) {
            settle(settle);
        } else if (message instanceof Register register) {
            register(register);
        } else if (message instanceof ShareAsk ask) {
            answerAsk(ask);
        } else if (message instanceof ShareGive given) {
            take(given);
        } else if (message instanceof ShareAck ack) {
            rebalancer.acknowledge(ack);
        } else if (message instanceof GrantTotals totals) {
            noteGrants(totals);
        } else if (message instanceof DemandReport report) {
            rebalancer.consider(report);
        } else if (message instanceof StreamCancelled cancelled) {
            takeover.cancelled(cancelled);
        } else if (message instanceof BillsCompared compared) {
            noteCompared(compared);
        } else if (message instanceof LedgerQuery query) {
            transport.send(query.from(), LedgerReading.of(config.name(), state, query));
        }
    }

    private void open(OpenIntent open) {
        heardMillis.put(open.instance(), timers.nowMillis());
        ResultCode refusal = check(open);
        if (refusal != ResultCode.OK) {
            answer(open, refusal);
            return;
        }
        if (state.findOpen(open.intentId()) != null) {
            journal.whenDurable(() -> answer(open, ResultCode.OK));
            return;
        }
        rebalancer.noteDemand(open.budget(), open.reserve());
        if (state.available(open.budget()) >= open.reserve()) {
            openNow(open);
            return;
        }
        rounds.await(open);
    }

    private ResultCode check(OpenIntent open) {
        boolean current = state.currentIncarnation(open.instance()) == open.incarnation();
        if (!current || state.isSealed(open.instance(), open.incarnation())) {
            return ResultCode.INSTANCE_SEALED;
        }
        // A late copy of a request that was settled must not be sent again.
        return state.findBill(open.intentId()) == null ? ResultCode.OK : ResultCode.INTENT_CLOSED;
    }

    private void openNow(OpenIntent open) {
        ResultCode refusal = check(open);
        if (refusal != ResultCode.OK) {
            answer(open, refusal);
            return;
        }
        record(IntentOpened.from(open), () -> answer(open, ResultCode.OK));
    }

    private void answer(OpenIntent open, ResultCode code) {
        transport.send(open.instance(), new IntentAnswer(config.name(), open.intentId(), code));
    }

    private void settle(SettleIntent settle) {
        IntentSettled reply = new IntentSettled(config.name(), settle.intentId());
        Runnable answer = () -> transport.send(settle.replyTo(), reply);
        if (state.findOpen(settle.intentId()) != null) {
            record(new IntentClosed(settle.intentId(), settle.tokens()), answer);
            return;
        }
        rounds.drop(settle.intentId());
        journal.whenDurable(answer);
    }

    private void close(String intentId, long tokens) {
        record(new IntentClosed(intentId, tokens), () -> {});
    }

    private void register(Register register) {
        String instance = register.instance();
        long current = state.currentIncarnation(instance);
        boolean sealed = state.isSealed(instance, register.incarnation());
        if (register.incarnation() < current || sealed) {
            long floor = Math.max(current, register.incarnation());
            sendRegistered(instance, floor, ResultCode.INSTANCE_SEALED);
            return;
        }
        heardMillis.put(instance, timers.nowMillis());
        if (register.incarnation() == current) {
            sendRegistered(instance, current, ResultCode.OK);
            return;
        }
        if (current > 0) {
            // The successor runs where its predecessor ran, so the predecessor has ended.
            record(new IncarnationSealed(instance, current), () -> {});
        }
        record(
                new IncarnationStarted(instance, register.incarnation()),
                () -> sendRegistered(instance, register.incarnation(), ResultCode.OK));
    }

    private void sendRegistered(String instance, long incarnation, ResultCode code) {
        transport.send(instance, new Registered(config.name(), incarnation, code));
    }

    private void answerAsk(ShareAsk ask) {
        long amount = SharePolicy.amountToGive(ask.need(), state.available(ask.budget()));
        long total = state.account(ask.budget()).sentTo(ask.from()) + amount;
        sendShare(ask.budget(), ask.from(), total, ask.round());
    }

    private void give(String budget, String to, long amount) {
        if (amount > 0 && state.available(budget) >= amount) {
            sendShare(budget, to, state.account(budget).sentTo(to) + amount, 0);
        }
    }

    private void sendShare(String budget, String to, long total, long round) {
        ShareGive share = new ShareGive(budget, config.name(), total, round);
        Runnable send = () -> transport.send(to, share);
        if (total > state.account(budget).sentTo(to)) {
            rebalancer.noteSent(budget, to);
            record(new ShareSent(budget, to, total), send);
            return;
        }
        journal.whenDurable(send);
    }

    private void take(ShareGive given) {
        ShareAck ack = new ShareAck(given.budget(), config.name(), given.sentTotal());
        Runnable send = () -> transport.send(given.from(), ack);
        long before = state.account(given.budget()).takenFrom(given.from());
        if (given.sentTotal() > before) {
            record(new ShareTaken(given.budget(), given.from(), given.sentTotal()), send);
        } else if (given.sentTotal() > 0) {
            journal.whenDurable(send);
        }
        rounds.answered(given.budget(), given.from(), given.round());
    }

    private void noteGrants(GrantTotals totals) {
        int last = totals.totals().size() - 1;
        for (int i = 0; i <= last; i++) {
            GrantTotal grant = totals.totals().get(i);
            // The index moves with the last grant only, so that a crash between two loses none.
            long index = i == last ? totals.index() : 0;
            boolean more = grant.total() > state.account(grant.budget()).granted();
            if (more || index > state.grantIndex()) {
                record(new GrantNoted(grant.budget(), grant.total(), index), () -> {});
            }
        }
        rounds.controlAnswered(totals);
        if (last + 1 == GrantTotals.MOST) {
            transport.send(config.control(), new GrantPull(config.name(), state.grantIndex(), 0));
        }
    }

    private void noteCompared(BillsCompared answer) {
        for (String intentId : answer.repeated()) {
            record(new BillRepeated(intentId), () -> {});
        }
        for (String intentId : answer.compared()) {
            record(new BillMet(intentId), () -> {});
        }
    }

    private void compareBills() {
        List<KeyedBill> bills = state.unmetBills(COMPARED_AT_ONCE);
        if (!bills.isEmpty()) {
            journal.whenDurable(
                    () ->
                            transport.send(
                                    config.control(),
                                    new CompareBills(config.name(), bills, false)));
        }
    }

    private void tick() {
        transport.send(config.control(), new GrantPull(config.name(), state.grantIndex(), 0));
        long oldest = timers.nowMillis() - config.leaseMillis();
        for (Map.Entry<String, Long> current : Map.copyOf(state.currentIncarnations()).entrySet()) {
            sealIfSilent(current.getKey(), current.getValue(), oldest);
        }
        takeover.tick();
        compareBills();
        rebalancer.tick(TICK_MILLIS);
        if (journal.recordsSinceRewrite() > COMPACT_RECORDS) {
            journal.rewrite(state.snapshot());
        }
    }

    private void sealIfSilent(String instance, long incarnation, long oldestMillis) {
        long heard = heardMillis.getOrDefault(instance, 0L);
        if (heard < oldestMillis && !state.isSealed(instance, incarnation)) {
            record(new IncarnationSealed(instance, incarnation), () -> {});
        }
    }

    private void record(JournalRecord entry, Runnable onDurable) {
        state.apply(entry);
        journal.append(entry, onDurable);
    }
}
