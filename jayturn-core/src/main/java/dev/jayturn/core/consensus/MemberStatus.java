package dev.jayturn.core.consensus;

/**
 * What a member knows of its log and of its leader, whether it leads or not.
 *
 * @param lastIndex index of the last entry of its log
 * @param durableIndex index of the last entry that its journal has made durable
 * @param commitIndex index up to which entries are known to be committed
 * @param leaderSilentMillis time since a leader was last heard of; of no meaning on the leader
 * @param votes votes that it has received in the election that it runs, its own included
 */
public record MemberStatus(
        long lastIndex, long durableIndex, long commitIndex, long leaderSilentMillis, int votes) {}
