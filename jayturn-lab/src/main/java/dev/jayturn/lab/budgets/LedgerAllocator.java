package dev.jayturn.lab.budgets;

import dev.jayturn.core.budget.GrantPull;
import dev.jayturn.core.budget.GrantTotal;
import dev.jayturn.core.budget.GrantTotals;
import dev.jayturn.core.budget.IntentAnswer;
import dev.jayturn.core.budget.Ledger;
import dev.jayturn.core.budget.LedgerConfig;
import dev.jayturn.core.budget.OpenIntent;
import dev.jayturn.core.budget.Register;
import dev.jayturn.core.budget.SettleIntent;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.virtual.VirtualDisk;
import dev.jayturn.core.virtual.VirtualNetwork;
import dev.jayturn.core.virtual.VirtualProcess;
import dev.jayturn.core.virtual.VirtualTime;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** The product's ledgers, one a data centre, with messages over a network in virtual time. */
final class LedgerAllocator implements Allocator {
    private static final long REGISTER_MILLIS = 1_000;
    private static final long WAIT_MILLIS = 1_000;

    private final VirtualNetwork network;
    private final List<Ledger> ledgers = new ArrayList<>();
    private final List<VirtualProcess> entries = new ArrayList<>();
    private final Map<String, Answer> waiting = new HashMap<>();

    LedgerAllocator(DemandPlan plan, VirtualTime time, long seed) {
        network = new VirtualNetwork(time, new Random(seed));
        for (int place = 0; place < DemandPlan.PLACES; place++) {
            addPlace(plan, time, place);
        }
        for (int place = 0; place < DemandPlan.PLACES; place++) {
            List<String> peers = new ArrayList<>();
            for (int other = 0; other < DemandPlan.PLACES; other++) {
                if (other != place) {
                    peers.add(ledger(other));
                }
            }
            ledgers.get(place).setPeers(peers);
        }
        time.runFor(REGISTER_MILLIS);
    }

    private static String ledger(int place) {
        return "ledger" + place;
    }

    private void addPlace(DemandPlan plan, VirtualTime time, int place) {
        String dataCentre = "place" + place;
        VirtualProcess process = new VirtualProcess(ledger(place), time, network);
        VirtualProcess entry = new VirtualProcess("entry" + place, time, network);
        network.setDataCentre(ledger(place), dataCentre);
        network.setDataCentre("entry" + place, dataCentre);
        Ledger ledger =
                new Ledger(
                        new LedgerConfig(ledger(place), ledger(place), 1_000_000_000, 300),
                        List.of(),
                        new VirtualDisk(time).openJournal(process),
                        process,
                        process);
        ledgers.add(ledger);
        entries.add(entry);
        process.onMessage((to, message) -> receive(plan, process, ledger, message));
        entry.onMessage((to, message) -> answered(message));
        entry.send(ledger(place), new Register("entry" + place, 1));
    }

    /** Grants come from a control log that has accepted each credit before the run. */
    private static void receive(
            DemandPlan plan, VirtualProcess process, Ledger ledger, Message message) {
        if (!(message instanceof GrantPull pull)) {
            ledger.handle(message);
            return;
        }
        List<GrantTotal> totals = new ArrayList<>();
        for (int budget = 0; budget < DemandPlan.BUDGETS && pull.afterIndex() == 0; budget++) {
            totals.add(new GrantTotal("b" + budget, plan.credit(budget) / DemandPlan.PLACES));
        }
        process.send(pull.ledger(), new GrantTotals(1, totals, pull.round()));
    }

    private void answered(Message message) {
        if (message instanceof IntentAnswer reply) {
            Answer answer = waiting.remove(reply.intentId());
            if (answer != null) {
                answer.done(reply.code() == ResultCode.OK);
            }
        }
    }

    @Override
    public void open(long id, Arrival arrival, Answer answer) {
        String intent = "i" + id;
        waiting.put(intent, answer);
        String entry = "entry" + arrival.place();
        entries.get(arrival.place())
                .send(
                        ledger(arrival.place()),
                        new OpenIntent(
                                intent,
                                "c",
                                "b" + arrival.budget(),
                                arrival.reserve(),
                                entry,
                                1,
                                "u",
                                true,
                                "",
                                WAIT_MILLIS));
    }

    @Override
    public void settle(long id, Arrival arrival) {
        entries.get(arrival.place())
                .send(
                        ledger(arrival.place()),
                        new SettleIntent("i" + id, arrival.used(), "entry" + arrival.place()));
    }

    @Override
    public void cut(boolean broken) {
        if (broken) {
            network.isolate("place" + DemandPlan.CUT_PLACE);
        } else {
            network.heal();
        }
    }

    @Override
    public long messages() {
        return network.messageCount();
    }
}
