package dev.jayturn.core.budget;

import java.util.HashMap;
import java.util.Map;

/**
 * One budget at one ledger. Transfers are cumulative totals that only grow, so that a message lost,
 * repeated or late changes nothing (bounded counter by escrow: O'Neil 1986; Balegas et al. 2015).
 */
final class Account {
    private static final Map<String, Long> NO_TRANSFERS = Map.of();

    private long granted;
    private long reserved;
    private long spent;
    private long receivedSum;
    private long sentSum;
    private Map<String, Long> received = NO_TRANSFERS;
    private Map<String, Long> sent = NO_TRANSFERS;

    long available() {
        return granted + receivedSum - sentSum - reserved - spent;
    }

    long spent() {
        return spent;
    }

    long granted() {
        return granted;
    }

    long reserved() {
        return reserved;
    }

    long sentTo(String ledger) {
        return sent.getOrDefault(ledger, 0L);
    }

    long receivedFrom(String ledger) {
        return received.getOrDefault(ledger, 0L);
    }

    Map<String, Long> sent() {
        return sent;
    }

    Map<String, Long> received() {
        return received;
    }

    void recordGrant(long total) {
        granted = Math.max(granted, total);
    }

    void recordSent(String to, long total) {
        if (sent == NO_TRANSFERS) {
            sent = new HashMap<>();
        }
        long before = sentTo(to);
        if (total > before) {
            sent.put(to, total);
            sentSum += total - before;
        }
    }

    void recordReceived(String from, long total) {
        if (received == NO_TRANSFERS) {
            received = new HashMap<>();
        }
        long before = receivedFrom(from);
        if (total > before) {
            received.put(from, total);
            receivedSum += total - before;
        }
    }

    void reserve(long tokens) {
        reserved += tokens;
    }

    void settle(long reservation, long tokens) {
        reserved -= reservation;
        spent += tokens;
    }

    void addSpent(long tokens) {
        spent += tokens;
    }
}
