package dev.jayturn.core.virtual;

import dev.jayturn.core.transport.Addresses;
import dev.jayturn.core.transport.Message;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * A simulated network that delays, loses, duplicates and reorders messages reproducibly from a
 * seed, and that can be partitioned.
 */
public final class VirtualNetwork {
    private static final int LOCAL_DELAY_MILLIS = 1;

    private final VirtualTime time;
    private final Random random;
    private final Map<String, VirtualProcess> processes = new HashMap<>();
    private final Map<String, String> dataCentres = new HashMap<>();
    private final Set<String> isolated = new HashSet<>();

    /** Names whose process has restarted, with the senders that have noticed it. */
    private final Map<String, Set<String>> brokenConnections = new HashMap<>();

    private double lossRate;
    private double duplicateRate;
    private int remoteDelayMillis = 20;
    private int jitterMillis = 5;
    private long messageCount;

    public VirtualNetwork(VirtualTime time, Random random) {
        this.time = time;
        this.random = random;
    }

    /** Registers the process that receives the messages to a name. */
    public void attach(String name, VirtualProcess process) {
        processes.put(name, process);
    }

    /** Sets the data centre of a name. */
    public void setDataCentre(String name, String dataCentre) {
        dataCentres.put(name, dataCentre);
    }

    /** Sets the fractions of messages lost and duplicated, and the jitter in milliseconds. */
    public void setFaults(double newLossRate, double newDuplicateRate, int newJitterMillis) {
        lossRate = newLossRate;
        duplicateRate = newDuplicateRate;
        jitterMillis = newJitterMillis;
    }

    /** Sets the one-way delay between data centres in milliseconds. */
    public void delayMillis(int millis) {
        remoteDelayMillis = millis;
    }

    /** Isolates a data centre or an instance from everything outside it. */
    public void isolate(String name) {
        isolated.add(name);
    }

    /**
     * Breaks all connections to an instance, as if it had lost power: the next message from each
     * sender goes to the old connection and is lost.
     */
    public void breakConnectionsTo(String name) {
        brokenConnections.put(name, new HashSet<>());
    }

    /** Ends all partitions. */
    public void heal() {
        isolated.clear();
    }

    /** Returns the number of messages sent so far, with duplicates and without lost messages. */
    public long messageCount() {
        return messageCount;
    }

    void send(String from, String to, Message message) {
        // A call to an upstream uses one HTTP connection, which neither loses nor duplicates.
        boolean reliable =
                Addresses.isUpstream(from)
                        || Addresses.isUpstream(to)
                        || from.equals(Addresses.instanceOf(to));
        Set<String> noticed = brokenConnections.get(Addresses.instanceOf(to));
        if (noticed != null && noticed.add(from)) {
            return;
        }
        int copies = !reliable && random.nextDouble() < duplicateRate ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (reliable || random.nextDouble() >= lossRate) {
                deliver(from, to, message);
            }
        }
    }

    private void deliver(String from, String to, Message message) {
        String instance = Addresses.instanceOf(to);
        messageCount++;
        time.schedule(
                delayMillis(from, instance),
                () -> {
                    VirtualProcess process = processes.get(instance);
                    if (process != null && canReach(from, instance)) {
                        process.receive(to, message);
                    }
                });
    }

    private int delayMillis(String from, String to) {
        if (from.equals(to)) {
            return 0;
        }
        boolean local = dataCentreOf(from).equals(dataCentreOf(to));
        return (local ? LOCAL_DELAY_MILLIS : remoteDelayMillis) + random.nextInt(jitterMillis + 1);
    }

    private boolean canReach(String from, String to) {
        for (String name : isolated) {
            if (isPartOf(from, name) != isPartOf(to, name)) {
                return false;
            }
        }
        return true;
    }

    private boolean isPartOf(String name, String isolatedName) {
        return name.equals(isolatedName) || dataCentreOf(name).equals(isolatedName);
    }

    private String dataCentreOf(String name) {
        return dataCentres.getOrDefault(name, "");
    }
}
