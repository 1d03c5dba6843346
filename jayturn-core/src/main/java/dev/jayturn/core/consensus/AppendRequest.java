package dev.jayturn.core.consensus;

import dev.jayturn.core.transport.Message;
import java.util.List;

/**
 * Raft AppendEntries request; without entries a heartbeat.
 *
 * @param from id of the leader
 * @param to id of the receiving member
 * @param commit commit index of the leader
 * @param round heartbeat round, which the reply echoes; used to confirm the leadership
 */
public record AppendRequest(
        String from,
        String to,
        long term,
        long prevIndex,
        long prevTerm,
        List<LogEntry> entries,
        long commit,
        long round)
        implements Message {}
