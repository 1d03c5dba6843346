package dev.jayturn.core.fleet;

import dev.jayturn.core.consensus.RaftConfig;
import dev.jayturn.core.consensus.RaftNode;
import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.slice.SliceAccounts;
import dev.jayturn.core.virtual.SeededRandom;
import dev.jayturn.core.virtual.VirtualDisk;
import dev.jayturn.core.virtual.VirtualNetwork;
import dev.jayturn.core.virtual.VirtualProcess;
import dev.jayturn.core.virtual.VirtualTime;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Control and entry instances of one fleet in virtual time, with callers that spend budgets. */
final class VirtualFleet {
    private static final long CALL_MILLIS = 400;

    /** A call waits for tokens as a request does at the forwarder. */
    private static final long WAIT_MILLIS = 100;

    private static final int WAITS = 3;

    final VirtualTime time = new VirtualTime();
    final Random random;
    final VirtualNetwork network;
    final Map<String, ControlLife> controls = new LinkedHashMap<>();
    final Map<String, EntryLife> entries = new LinkedHashMap<>();
    final Map<String, Long> spent = new HashMap<>();
    final Map<String, Long> refused = new HashMap<>();
    private final List<String> controlNames = new ArrayList<>();

    VirtualFleet(long seed, int controlCount, int entryCount) {
        random = new Random(seed);
        network = new VirtualNetwork(time, random);
        for (int i = 0; i < controlCount; i++) {
            controlNames.add("control-" + i);
        }
        for (String name : controlNames) {
            network.place(name, "core");
            controls.put(name, new ControlLife(name, true));
        }
        for (int i = 0; i < entryCount; i++) {
            network.place("entry-" + i, "front-" + i);
            entries.put("entry-" + i, new EntryLife("entry-" + i, "run-0"));
        }
    }

    /** Puts a version in force at one of the control instances. */
    void put(long version, Map<String, Long> prepaid, ConfigurationReply reply) {
        ControlLife any = controls.get(controlNames.get(random.nextInt(controlNames.size())));
        any.process.run(
                () ->
                        any.control.put(
                                new PutConfiguration(version, new byte[] {(byte) version}, prepaid),
                                reply));
    }

    long spentBy(String customer) {
        return spent.getOrDefault(customer, 0L);
    }

    /** A life of a control instance; its disk outlives it. */
    final class ControlLife {
        final String name;
        final VirtualDisk disk;
        VirtualProcess process;
        FleetState state;
        FleetControl control;
        RaftNode raft;
        private int stores;

        ControlLife(String name, boolean founds) {
            this.name = name;
            this.disk = new VirtualDisk(time);
            start(founds);
        }

        void restart() {
            process.kill();
            start(false);
        }

        private void start(boolean founds) {
            process = new VirtualProcess(name, time, network);
            SeededRandom source = new SeededRandom(new Random(random.nextLong()));
            state = new FleetState();
            List<String> founders = new ArrayList<>();
            for (String other : controlNames) {
                founders.add(other + "#founder");
            }
            RaftConfig config =
                    new RaftConfig(
                            name + "#founder",
                            controlNames,
                            founds ? founders : List.of(),
                            500,
                            100,
                            200);
            stores++;
            raft =
                    new RaftNode(
                            config,
                            disk.records(),
                            disk.open(process),
                            process,
                            process,
                            source,
                            state);
            control =
                    new FleetControl(name, stores, raft, state, process, process, time::nowMillis);
            FleetControl receiver = control;
            process.onMessage((to, message) -> receiver.handle(message));
        }
    }

    /** A life of an entry instance and its callers. */
    final class EntryLife implements FleetListener {
        final String name;
        final VirtualProcess process;
        final FleetEntry fleet;
        long version;
        final List<Heartbeat> upstreams = new ArrayList<>();

        EntryLife(String name, String run) {
            this.name = name;
            process = new VirtualProcess(name, time, network);
            SeededRandom source = new SeededRandom(new Random(random.nextLong()));
            fleet =
                    new FleetEntry(
                            name,
                            controlNames,
                            process,
                            process,
                            source,
                            time::nowMillis,
                            run,
                            this);
            process.onMessage((to, message) -> fleet.handle(message));
        }

        /** One call: reserves at its most, and spends all of it a while later. */
        void call(String customer, long tokens) {
            call(customer, tokens, WAITS);
        }

        private void call(String customer, long tokens, int waits) {
            process.run(
                    () -> {
                        SliceAccounts slices = fleet.slices();
                        if (!slices.hasFree(customer, tokens)) {
                            fleet.requestTokens(customer, tokens);
                            if (waits == 0) {
                                refused.merge(customer, 1L, Long::sum);
                            } else {
                                process.schedule(
                                        WAIT_MILLIS, () -> call(customer, tokens, waits - 1));
                            }
                            return;
                        }
                        SliceAccounts.Reservation held = slices.reserve(customer, tokens);
                        // The upstream runs on whatever becomes of this instance.
                        spent.merge(customer, tokens, Long::sum);
                        process.schedule(CALL_MILLIS, () -> slices.settle(held, tokens));
                    });
        }

        @Override
        public void onConfiguration(ConfigurationDocument document) {
            version = document.version();
        }

        @Override
        public void onUpstream(Heartbeat heartbeat) {
            upstreams.add(heartbeat);
        }

        @Override
        public void onPeers(List<String> peers) {
            // The work at upstreams is not looked at here.
        }

        @Override
        public void onSlices() {
            // Callers do not wait here.
        }
    }
}
