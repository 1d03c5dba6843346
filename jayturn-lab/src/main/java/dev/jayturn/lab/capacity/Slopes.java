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
final class Slopes {
    private static final long[] BUDGETS = {1_000, 20_000, 50_000, 100_000, 150_000};
    private static final long[] RULES = {1_000, 20_000, 60_000, 120_000, 180_000};
    private static final long[] RUNNERS = {8, 32, 64, 130, 260};
    private static final long[] CALLS = {20_000, 50_000, 100_000, 200_000};
    private static final long[] CLAIMS = {10_000, 50_000, 100_000, 200_000};
    private static final long[] ENTRIES = {1_000, 10_000, 20_000, 50_000};
    private static final double KILOBYTE = 1_024;
    private static final double REPORTS_PER_SECOND = 2;

    private Slopes() {}

    private record Measured(String cost, String size, long[] points, LongToDoubleFunction function)
            implements Slope {
        @Override
        public double measure(long count) {
            return function.applyAsDouble(count);
        }
    }

    static List<Slope> all() {
        return List.of(
                new Measured("ledger memory, MB", "budgets", BUDGETS, n -> ledgerMemory(n)),
                new Measured("ledger snapshot, ms", "budgets", BUDGETS, n -> ledgerSnapshot(n)),
                new Measured("rules memory, MB", "rules", RULES, n -> rulesMemory(n)),
                new Measured("apply one change, ms", "rules", RULES, n -> applyChange(n)),
                new Measured("whole rules, KB", "rules", RULES, n -> wholeRules(n)),
                new Measured("load reports, KB/s", "runners", RUNNERS, n -> loadReports(n)),
                new Measured("apply load reports, ms/s", "runners", RUNNERS, n -> applyLoads(n)),
                new Measured("routing decision, us", "runners", RUNNERS, n -> route(n)),
                new Measured("ledger open and settle, ms", "calls", CALLS, n -> calls(n)),
                new Measured("claims memory, MB", "claims", CLAIMS, n -> claimsMemory(n)),
                new Measured("decode control log, ms", "entries", ENTRIES, n -> decode(n)));
    }

    private static LedgerState ledger(long budgets) {
        LedgerState state = new LedgerState();
        for (long i = 0; i < budgets; i++) {
            state.apply(new GrantNoted("customer-" + i % 10_000 + "/budget-" + i, 1_000_000, i));
        }
        return state;
    }

    private static double ledgerMemory(long budgets) {
        return Costs.megabytes(() -> ledger(budgets));
    }

    private static double ledgerSnapshot(long budgets) {
        LedgerState state = ledger(budgets);
        return Costs.millis(
                () -> {
                    for (JournalRecord entry : state.snapshot()) {
                        MessageCodec.encode(entry);
                    }
                });
    }

    private static List<String> lines(long count) {
        List<String> lines = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            lines.add("budget team-" + i + " customer=customer-" + i % 10_000 + " # asked by ops");
        }
        return lines;
    }

    private static double rulesMemory(long count) {
        return Costs.megabytes(() -> RuleSet.compile(1, lines(count)));
    }

    private static double applyChange(long count) {
        RuleSet book = RuleSet.compile(1, lines(count));
        RuleDelta delta = new RuleDelta(List.of("customer new # asked by ops"), List.of());
        return Costs.millis(() -> book.withDelta(2, delta));
    }

    private static double wholeRules(long count) {
        RuleDelta delta = new RuleDelta(lines(count), List.of());
        return MessageCodec.encode(new RulesUpdate(0, 1, delta, true)).length / KILOBYTE;
    }

    private static MembersUpdate loads(long runners) {
        List<LoadReport> loads = new ArrayList<>();
        for (long i = 0; i < runners; i++) {
            loads.add(new LoadReport("runner-kokura-" + i, (int) i % 64, 0));
        }
        return new MembersUpdate("kokura-1", 123_456_789L, 7, 7, List.of(), List.of(), loads, true);
    }

    private static double loadReports(long runners) {
        int bytes = MessageCodec.encode(loads(runners)).length;
        return REPORTS_PER_SECOND * bytes / KILOBYTE;
    }

    private static MembersView view(long runners) {
        VirtualTime time = new VirtualTime();
        VirtualNetwork network = new VirtualNetwork(time, new Random(1));
        VirtualProcess process = new VirtualProcess("entry", time, network);
        MembersView view = new MembersView(process, 5_000);
        for (long i = 0; i < runners; i++) {
            view.applyAnnouncement(new Announce(upstream(i), 0, 0));
        }
        return view;
    }

    private static Upstream upstream(long number) {
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

    private static double applyLoads(long runners) {
        MembersView view = view(runners);
        byte[] bytes = MessageCodec.encode(loads(runners));
        int rounds = 200;
        double millis =
                Costs.millis(
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

    private static double route(long runners) {
        VirtualTime time = new VirtualTime();
        VirtualProcess process =
                new VirtualProcess("e", time, new VirtualNetwork(time, new Random(1)));
        Router router =
                new Router(
                        view(runners),
                        new CircuitBreakers(process),
                        new SeededRandom(new Random(1)));
        int rounds = 2_000;
        double millis =
                Costs.millis(
                        () -> {
                            for (int i = 0; i < rounds; i++) {
                                router.route(
                                        new RouteQuery("r", "llm", "m", "affinity", i, Set.of()));
                            }
                        });
        return 1_000 * millis / rounds;
    }

    private static double calls(long count) {
        return Costs.millis(
                () -> {
                    LedgerState state = ledger(100);
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

    private static ClaimCall claim(long number) {
        return new ClaimCall(
                "customer-" + number % 10_000,
                "0190-key-" + number,
                "kokura-1-abc-" + number,
                "fingerprint-0123",
                "order-desk",
                number);
    }

    private static double claimsMemory(long count) {
        return Costs.megabytes(
                () -> {
                    ControlState state = new ControlState();
                    for (long i = 0; i < count; i++) {
                        state.apply(i, claim(i));
                    }
                    return state;
                });
    }

    private static double decode(long count) {
        List<byte[]> records = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            records.add(MessageCodec.encode(new LogEntry(i + 1, 1, claim(i))));
        }
        return Costs.millis(
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
