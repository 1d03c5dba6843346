package dev.jayturn.core.consensus;

import java.util.List;

/**
 * What a member is told at start.
 *
 * @param id its instance, then #, then the identity of its store
 * @param seeds instances that a member without a log asks to be taken in
 * @param founders members of the new cluster that a member without a log starts; empty if it joins
 *     one. All founders are given the same list.
 * @param electionTimeoutMillis shortest election timeout; the longest is twice that
 * @param heartbeatIntervalMillis time between heartbeats
 * @param snapshotIntervalEntries applied entries after which the log is cut
 */
public record RaftConfig(
        String id,
        List<String> seeds,
        List<String> founders,
        long electionTimeoutMillis,
        long heartbeatIntervalMillis,
        int snapshotIntervalEntries) {}
