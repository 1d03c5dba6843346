package dev.jayturn.lab.engine;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Options of a simulated engine.
 *
 * @param fencing whether the engine announces that it supports fencing
 * @param tombstones whether the engine announces that it refuses the ids of cancelled streams
 * @param announceTo instances that it announces itself to, as IP:port
 * @param announcementToken bearer token of the announcements; empty for none
 * @param reportLagMillis age of a load report when it is sent
 * @param fault fault to inject
 * @param faultEvery inject the fault into every n-th request; 0 for none
 */
public record EngineOptions(
        String id,
        InetSocketAddress listen,
        String service,
        String dataCentre,
        List<String> models,
        EngineProfile profile,
        boolean fencing,
        boolean tombstones,
        List<String> announceTo,
        String announcementToken,
        long reportLagMillis,
        Fault fault,
        int faultEvery) {
    /** A fault to inject into a request. */
    public enum Fault {
        NONE,
        /** The stream stops in the middle and the connection stays open. */
        STALL,
        /** The connection is closed in the middle of the stream. */
        BREAK,
        /** The answer carries the id of another request. */
        CROSS,
        /** The whole answer is delayed by some seconds. */
        LATE
    }
}
