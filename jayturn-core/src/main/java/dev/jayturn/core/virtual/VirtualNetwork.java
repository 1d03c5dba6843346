package dev.jayturn.core.virtual;

import dev.jayturn.core.transport.Addresses;
import dev.jayturn.core.transport.Message;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** A network that delays, loses, repeats and reorders by a seed, and that can be cut. */
public final class VirtualNetwork {
    private static final int LOCAL_DELAY_MILLIS = 1;

    private final VirtualTime time;
    private final Random random;
    private final Map<String, VirtualProcess> processes = new HashMap<>();
    private final Map<String, String> dataCentres = new HashMap<>();
    private final Set<String> isolated = new HashSet<>();
    private double lossRate;
    private double duplicateRate;
    private int remoteDelayMillis = 20;
    private int jitterMillis = 5;
    private long messageCount;

    public VirtualNetwork(VirtualTime time, Random random) {
        this.time = time;
        this.random = random;
    }

    /** Makes a process reachable under a name. */
    public void attach(String name, VirtualProcess process) {
        processes.put(name, process);
    }

    /** Puts a name in a data centre. */
    public void setDataCentre(String name, String dataCentre) {
        dataCentres.put(name, dataCentre);
    }

    /** Sets the shares of messages lost and repeated, and the jitter in milliseconds. */
    public void setFaults(double lossShare, double repeatShare, int jitter) {
        lossRate = lossShare;
        duplicateRate = repeatShare;
        jitterMillis = jitter;
    }

    /** Sets the one-way delay between data centres in milliseconds. */
    public void delayMillis(int millis) {
        remoteDelayMillis = millis;
    }

    /** Cuts a place, which is a data centre or an instance, off from everything outside it. */
    public void isolate(String place) {
        isolated.add(place);
    }

    /** Ends all cuts. */
    public void heal() {
        isolated.clear();
    }

    /** Returns the messages carried so far. */
    public long messageCount() {
        return messageCount;
    }

    void send(String from, String to, Message message) {
        // Upstreams are met over one HTTP connection a call, which repeats and skips nothing.
        boolean reliable =
                Addresses.isUpstream(from)
                        || Addresses.isUpstream(to)
                        || from.equals(Addresses.instanceOf(to));
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
        boolean near = dataCentreOf(from).equals(dataCentreOf(to));
        return (near ? LOCAL_DELAY_MILLIS : remoteDelayMillis) + random.nextInt(jitterMillis + 1);
    }

    private boolean canReach(String from, String to) {
        for (String cut : isolated) {
            if (isPartOf(from, cut) != isPartOf(to, cut)) {
                return false;
            }
        }
        return true;
    }

    private boolean isPartOf(String name, String place) {
        return name.equals(place) || dataCentreOf(name).equals(place);
    }

    private String dataCentreOf(String name) {
        return dataCentres.getOrDefault(name, "");
    }
}
