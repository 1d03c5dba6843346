package dev.jayturn.core.scenario;

import dev.jayturn.core.fake.CallReply;
import dev.jayturn.core.membership.HubClient;
import dev.jayturn.core.membership.MembersView;
import dev.jayturn.core.request.EntryNode;
import dev.jayturn.core.retry.CircuitBreakers;
import dev.jayturn.core.routing.Router;
import dev.jayturn.core.virtual.SeededRandom;
import dev.jayturn.core.virtual.VirtualProcess;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

/** An entry instance whose process can crash and restart. */
final class EntryInstance {
    final String name;
    final String dataCentre;
    private final SimulatedFleet fleet;
    private final Random random;
    private VirtualProcess process;
    private EntryNode entry;
    private HubClient hub;
    private MembersView members;
    private Map<String, Consumer<CallReply>> waiters = new HashMap<>();

    EntryInstance(SimulatedFleet fleet, String name, String dataCentre, Random random) {
        this.fleet = fleet;
        this.name = name;
        this.dataCentre = dataCentre;
        this.random = random;
    }

    void start() {
        fleet.network().setDataCentre(name, dataCentre);
        process = new VirtualProcess(name, fleet.time(), fleet.network());
        waiters = new HashMap<>();
        List<String> controlNames = fleet.controlNamesNearestFirst(dataCentre);
        members = new MembersView(process, 3_000);
        CircuitBreakers breakers = new CircuitBreakers(process);
        hub = new HubClient(name, dataCentre, controlNames, List.of(), members, process, process);
        entry =
                new EntryNode(
                        name,
                        fleet.time().nowMillis(),
                        controlNames,
                        new Router(members, breakers, new SeededRandom(random)),
                        breakers,
                        process,
                        process,
                        new SeededRandom(random),
                        (call, message) -> {});
        process.onMessage(
                (to, message) -> {
                    if (message instanceof CallReply reply) {
                        Consumer<CallReply> waiter = waiters.remove(reply.intentId());
                        if (waiter != null) {
                            waiter.accept(reply);
                        }
                    } else {
                        hub.handle(message);
                        entry.handle(message);
                    }
                });
    }

    void await(String intentId, Consumer<CallReply> waiter) {
        waiters.put(intentId, waiter);
    }

    boolean stopAwaiting(String intentId) {
        return waiters.remove(intentId) != null;
    }

    void crash() {
        process.crash();
    }

    boolean isRunning() {
        return process.isRunning();
    }

    VirtualProcess process() {
        return process;
    }

    EntryNode entry() {
        return entry;
    }

    HubClient hub() {
        return hub;
    }

    MembersView members() {
        return members;
    }
}
