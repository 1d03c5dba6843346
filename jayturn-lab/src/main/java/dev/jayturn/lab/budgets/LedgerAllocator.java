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
    private static final long REGISTRATION_MILLIS = 1_000;
    private static final long INTENT_WAIT_MILLIS = 1_000;

    private final VirtualNetwork network;
    private final List<Ledger> ledgers = new ArrayList<>();
    private final List<VirtualProcess> entries = new ArrayList<>();
    private final Map<String, AdmissionCallback> pendingByIntent = new HashMap<>();

    LedgerAllocator(DemandPlan plan, VirtualTime time, long seed) {
        network = new VirtualNetwork(time, new Random(seed));
        for (int place = 0; place < DemandPlan.DATA_CENTRE_COUNT; place++) {
            addDataCentre(plan, time, place);
        }
        for (int place = 0; place < DemandPlan.DATA_CENTRE_COUNT; place++) {
            List<String> peers = new ArrayList<>();
            for (int other = 0; other < DemandPlan.DATA_CENTRE_COUNT; other++) {
                if (other != place) {
                    peers.add(ledgerName(other));
                }
            }
            ledgers.get(place).setPeers(peers);
        }
        time.runFor(REGISTRATION_MILLIS);
    }

    private static String ledgerName(int place) {
        return "ledger" + place;
    }

    private void addDataCentre(DemandPlan plan, VirtualTime time, int place) {
        String dataCentre = "place" + place;
        VirtualProcess process = new VirtualProcess(ledgerName(place), time, network);
        VirtualProcess entry = new VirtualProcess("entry" + place, time, network);
        network.setDataCentre(ledgerName(place), dataCentre);
        network.setDataCentre("entry" + place, dataCentre);
        Ledger ledger =
                new Ledger(
                        new LedgerConfig(ledgerName(place), ledgerName(place), 1_000_000_000, 300),
                        List.of(),
                        new VirtualDisk(time).openJournal(process),
                        process,
                        process);
        ledgers.add(ledger);
        entries.add(entry);
        process.onMessage((to, message) -> onLedgerMessage(plan, process, ledger, message));
        entry.onMessage((to, message) -> onEntryMessage(message));
        entry.send(ledgerName(place), new Register("entry" + place, 1));
    }

    /** Grants come from a control log that has accepted each credit before the run. */
    private static void onLedgerMessage(
            DemandPlan plan, VirtualProcess process, Ledger ledger, Message message) {
        if (!(message instanceof GrantPull pull)) {
            ledger.handle(message);
            return;
        }
        List<GrantTotal> totals = new ArrayList<>();
        for (int budget = 0; budget < DemandPlan.BUDGET_COUNT && pull.afterIndex() == 0; budget++) {
            totals.add(
                    new GrantTotal(
                            "b" + budget, plan.creditOf(budget) / DemandPlan.DATA_CENTRE_COUNT));
        }
        process.send(pull.ledger(), new GrantTotals(1, totals, pull.round()));
    }

    private void onEntryMessage(Message message) {
        if (message instanceof IntentAnswer reply) {
            AdmissionCallback answer = pendingByIntent.remove(reply.intentId());
            if (answer != null) {
                answer.onDecision(reply.code() == ResultCode.OK);
            }
        }
    }

    @Override
    public void reserve(long id, Arrival arrival, AdmissionCallback answer) {
        String intent = "i" + id;
        pendingByIntent.put(intent, answer);
        String entry = "entry" + arrival.dataCentre();
        entries.get(arrival.dataCentre())
                .send(
                        ledgerName(arrival.dataCentre()),
                        new OpenIntent(
                                intent,
                                "c",
                                "b" + arrival.budget(),
                                arrival.reservedTokens(),
                                entry,
                                1,
                                "u",
                                true,
                                "",
                                INTENT_WAIT_MILLIS));
    }

    @Override
    public void settle(long id, Arrival arrival) {
        entries.get(arrival.dataCentre())
                .send(
                        ledgerName(arrival.dataCentre()),
                        new SettleIntent(
                                "i" + id, arrival.usedTokens(), "entry" + arrival.dataCentre()));
    }

    @Override
    public void setPartitioned(boolean broken) {
        if (broken) {
            network.isolate("place" + DemandPlan.PARTITIONED_DATA_CENTRE);
        } else {
            network.heal();
        }
    }

    @Override
    public long messageCount() {
        return network.messageCount();
    }
}
