package dev.jayturn.lab.engine;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * How an engine stand-in runs.
 *
 * @param announceTo instances that it announces itself to, as IP:port
 * @param reportLagMillis how old a load report is when it is sent
 * @param fault what goes wrong
 * @param faultEvery with which request in so many; 0 for none
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
    /** What can go wrong with a request. */
    public enum Fault {
        NONE,
        /** The stream stops without an end. */
        STALL,
        /** The connection is closed in the middle of the stream. */
        BREAK,
        /** The answer carries the id of another request. */
        CROSS,
        /** The answer starts some seconds late. */
        LATE
    }
}
