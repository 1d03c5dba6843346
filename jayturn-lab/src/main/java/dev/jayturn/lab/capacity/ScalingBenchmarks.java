package dev.jayturn.lab.capacity;

import dev.jayturn.core.budget.GrantNoted;
import dev.jayturn.core.budget.IntentClosed;
import dev.jayturn.core.budget.IntentOpened;
import dev.jayturn.core.budget.LedgerState;
import dev.jayturn.core.consensus.LogEntry;
import dev.jayturn.core.control.ClaimCall;
import dev.jayturn.core.control.ControlState;
import dev.jayturn.core.journal.JournalRecord;
import dev.jayturn.core.membership.Announce;
import dev.jayturn.core.membership.LoadReport;
import dev.jayturn.core.membership.MembersUpdate;
import dev.jayturn.core.membership.MembersView;
import dev.jayturn.core.membership.Upstream;
import dev.jayturn.core.retry.CircuitBreakers;
import dev.jayturn.core.routing.RouteQuery;
import dev.jayturn.core.routing.Router;
import dev.jayturn.core.rules.RuleDelta;
import dev.jayturn.core.rules.RuleSet;
import dev.jayturn.core.rules.RulesUpdate;
import dev.jayturn.core.virtual.SeededRandom;
import dev.jayturn.core.virtual.VirtualNetwork;
import dev.jayturn.core.virtual.VirtualProcess;
import dev.jayturn.core.virtual.VirtualTime;
import dev.jayturn.wire.MessageCodec;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.LongToDoubleFunction;

/** The slopes that docs/CAPACITY.md is worked out from. */
final class ScalingBenchmarks {
    private static final long[] BUDGET_COUNTS = {1_000, 20_000, 50_000, 100_000, 150_000};
    private static final long[] RULE_COUNTS = {1_000, 20_000, 60_000, 120_000, 180_000};
    private static final long[] UPSTREAM_COUNTS = {8, 32, 64, 130, 260};
    private static final long[] CALL_COUNTS = {20_000, 50_000, 100_000, 200_000};
    private static final long[] CLAIM_COUNTS = {10_000, 50_000, 100_000, 200_000};
    private static final long[] LOG_ENTRY_COUNTS = {1_000, 10_000, 20_000, 50_000};
    private static final double BYTES_PER_KILOBYTE = 1_024;
    private static final double REPORTS_PER_SECOND = 2;

    private ScalingBenchmarks() {}

    private record FunctionBenchmark(
            String costName, String sizeName, long[] sizes, LongToDoubleFunction costFunction)
            implements ScalingBenchmark {
        @Override
        public double measure(long count) {
            return costFunction.applyAsDouble(count);
        }
    }

    static List<ScalingBenchmark> all() {
        return List.of(
                new FunctionBenchmark(
                        "ledger memory, MB", "budgets", BUDGET_COUNTS, n -> ledgerMegabytes(n)),
                new FunctionBenchmark(
                        "ledger snapshot, ms",
                        "budgets",
                        BUDGET_COUNTS,
                        n -> ledgerSnapshotMillis(n)),
                new FunctionBenchmark(
                        "rules memory, MB", "rules", RULE_COUNTS, n -> rulesMegabytes(n)),
                new FunctionBenchmark(
                        "apply one change, ms", "rules", RULE_COUNTS, n -> rulesChangeMillis(n)),
                new FunctionBenchmark(
                        "whole rules, KB", "rules", RULE_COUNTS, n -> fullRulesKilobytes(n)),
                new FunctionBenchmark(
                        "load reports, KB/s",
                        "runners",
                        UPSTREAM_COUNTS,
                        n -> loadReportKilobytesPerSecond(n)),
                new FunctionBenchmark(
                        "apply load reports, ms/s",
                        "runners",
                        UPSTREAM_COUNTS,
                        n -> loadReportMillisPerSecond(n)),
                new FunctionBenchmark(
                        "routing decision, us", "runners", UPSTREAM_COUNTS, n -> routingMicros(n)),
                new FunctionBenchmark(
                        "ledger open and settle, ms",
                        "calls",
                        CALL_COUNTS,
                        n -> openAndSettleMillis(n)),
                new FunctionBenchmark(
                        "claims memory, MB", "claims", CLAIM_COUNTS, n -> claimsMegabytes(n)),
                new FunctionBenchmark(
                        "decode control log, ms",
                        "entries",
                        LOG_ENTRY_COUNTS,
                        n -> decodeLogMillis(n)));
    }

    private static LedgerState createLedger(long budgets) {
        LedgerState state = new LedgerState();
        for (long i = 0; i < budgets; i++) {
            state.apply(new GrantNoted("customer-" + i % 10_000 + "/budget-" + i, 1_000_000, i));
        }
        return state;
    }

    private static double ledgerMegabytes(long budgets) {
        return CostMeter.medianMegabytes(() -> createLedger(budgets));
    }

    private static double ledgerSnapshotMillis(long budgets) {
        LedgerState state = createLedger(budgets);
        return CostMeter.minMillis(
                () -> {
                    for (JournalRecord entry : state.snapshot()) {
                        MessageCodec.encode(entry);
                    }
                });
    }

    private static List<String> createRuleLines(long count) {
        List<String> lines = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            lines.add("budget team-" + i + " customer=customer-" + i % 10_000 + " # asked by ops");
        }
        return lines;
    }

    private static double rulesMegabytes(long count) {
        return CostMeter.medianMegabytes(() -> RuleSet.compile(1, createRuleLines(count)));
    }

    private static double rulesChangeMillis(long count) {
        RuleSet book = RuleSet.compile(1, createRuleLines(count));
        RuleDelta delta = new RuleDelta(List.of("customer new # asked by ops"), List.of());
        return CostMeter.minMillis(() -> book.withDelta(2, delta));
    }

    private static double fullRulesKilobytes(long count) {
        RuleDelta delta = new RuleDelta(createRuleLines(count), List.of());
        return MessageCodec.encode(new RulesUpdate(0, 1, delta, true)).length / BYTES_PER_KILOBYTE;
    }

    private static MembersUpdate createLoadUpdate(long runners) {
        List<LoadReport> loads = new ArrayList<>();
        for (long i = 0; i < runners; i++) {
            loads.add(new LoadReport("runner-kokura-" + i, (int) i % 64, 0));
        }
        return new MembersUpdate("kokura-1", 123_456_789L, 7, 7, List.of(), List.of(), loads, true);
    }

    private static double loadReportKilobytesPerSecond(long runners) {
        int bytes = MessageCodec.encode(createLoadUpdate(runners)).length;
        return REPORTS_PER_SECOND * bytes / BYTES_PER_KILOBYTE;
    }

    private static MembersView createMembersView(long runners) {
        VirtualTime time = new VirtualTime();
        VirtualNetwork network = new VirtualNetwork(time, new Random(1));
        VirtualProcess process = new VirtualProcess("entry", time, network);
        MembersView view = new MembersView(process, 5_000);
        for (long i = 0; i < runners; i++) {
            view.applyAnnouncement(new Announce(createUpstream(i), 0, 0));
        }
        return view;
    }

    private static Upstream createUpstream(long number) {
        return new Upstream(
                "runner-kokura-" + number,
                "llm",
                "127.0.0.1:" + (10_000 + number),
                "kokura",
                1,
                1,
                List.of("m"),
                64,
                true,
                true,
                false);
    }

    private static double loadReportMillisPerSecond(long runners) {
        MembersView view = createMembersView(runners);
        byte[] bytes = MessageCodec.encode(createLoadUpdate(runners));
        int rounds = 200;
        double millis =
                CostMeter.minMillis(
                        () -> {
                            for (int i = 0; i < rounds; i++) {
                                view.apply(decodeUpdate(bytes));
                            }
                        });
        return REPORTS_PER_SECOND * millis / rounds;
    }

    private static MembersUpdate decodeUpdate(byte[] bytes) {
        try {
            return (MembersUpdate) MessageCodec.decodeMessage(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static double routingMicros(long runners) {
        VirtualTime time = new VirtualTime();
        VirtualProcess process =
                new VirtualProcess("e", time, new VirtualNetwork(time, new Random(1)));
        Router router =
                new Router(
                        createMembersView(runners),
                        new CircuitBreakers(process),
                        new SeededRandom(new Random(1)));
        int rounds = 2_000;
        double millis =
                CostMeter.minMillis(
                        () -> {
                            for (int i = 0; i < rounds; i++) {
                                router.route(
                                        new RouteQuery("r", "llm", "m", "affinity", i, Set.of()));
                            }
                        });
        return 1_000 * millis / rounds;
    }

    private static double openAndSettleMillis(long count) {
        return CostMeter.minMillis(
                () -> {
                    LedgerState state = createLedger(100);
                    for (long i = 0; i < count; i++) {
                        IntentOpened opened =
                                new IntentOpened(
                                        "kokura-1-abc-" + i + ".1",
                                        "c",
                                        "b",
                                        100,
                                        "kokura-1",
                                        1,
                                        "127.0.0.1:9000",
                                        true,
                                        "");
                        state.apply(opened);
                        MessageCodec.encode(opened);
                        IntentClosed closed = new IntentClosed(opened.intentId(), 80);
                        state.apply(closed);
                        MessageCodec.encode(closed);
                    }
                });
    }

    private static ClaimCall createClaim(long number) {
        return new ClaimCall(
                "customer-" + number % 10_000,
                "0190-key-" + number,
                "kokura-1-abc-" + number,
                "fingerprint-0123",
                "order-desk",
                number);
    }

    private static double claimsMegabytes(long count) {
        return CostMeter.medianMegabytes(
                () -> {
                    ControlState state = new ControlState();
                    for (long i = 0; i < count; i++) {
                        state.apply(i, createClaim(i));
                    }
                    return state;
                });
    }

    private static double decodeLogMillis(long count) {
        List<byte[]> records = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            records.add(MessageCodec.encode(new LogEntry(i + 1, 1, createClaim(i))));
        }
        return CostMeter.minMillis(
                () -> {
                    for (byte[] bytes : records) {
                        decodeRecord(bytes);
                    }
                });
    }

    private static void decodeRecord(byte[] bytes) {
        try {
            MessageCodec.decodeRecord(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
