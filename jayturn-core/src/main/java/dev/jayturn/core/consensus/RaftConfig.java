package dev.jayturn.core.consensus;

import java.util.List;

/**
 * Configuration of a Raft member.
 *
 * @param id id of the member: the name of its instance, #, and the identity of its store
 * @param seeds instances to which a member that is not in the cluster sends join requests
 * @param founders members of the new cluster that a member with an empty log starts; empty if it
 *     joins an existing cluster. All founders need the same list.
 * @param electionTimeoutMillis shortest election timeout; the longest is twice as long
 * @param heartbeatIntervalMillis time between heartbeats
 * @param snapshotIntervalEntries number of applied entries after which a snapshot replaces them
 */
public record RaftConfig(
        String id,
        List<String> seeds,
        List<String> founders,
        long electionTimeoutMillis,
        long heartbeatIntervalMillis,
        int snapshotIntervalEntries) {}
