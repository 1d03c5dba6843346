package dev.jayturn.core.slice;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The slices that one incarnation of an entry instance spends from. It needs nobody to spend what
 * it holds, so it goes on when it is cut off.
 */
public final class SliceAccounts {
    /** Time over which demand is averaged, in seconds. */
    private static final double DEMAND_SECONDS = 4;

    private final Map<String, Account> accounts = new HashMap<>();
    private long epoch;

    private static final class Account {
        long issued;
        long returned;
        long spent;
        long reserved;
        long left;
        long leftAtMillis = Long.MIN_VALUE;
        long shortage;
        long reportedSpent;
        long reportedAtMillis;
        double demand;

        long available() {
            return issued - returned - spent - reserved;
        }
    }

    /**
     * Tokens held for one request.
     *
     * @param epoch incarnation of the accounts that they were taken from
     */
    public record Reservation(String customer, long tokens, long epoch) {}

    /** Returns whether so many tokens are free. */
    public boolean hasFree(String customer, long tokens) {
        return account(customer).available() >= tokens;
    }

    /** Takes tokens for a request; call only if they are free. */
    public Reservation reserve(String customer, long tokens) {
        account(customer).reserved += tokens;
        return new Reservation(customer, tokens, epoch);
    }

    /** Notes that a request lacked tokens, so that the next report asks for them. */
    public void noteShortage(String customer, long tokens) {
        Account account = account(customer);
        account.shortage = Math.max(account.shortage, tokens);
    }

    /** Ends a reservation; what was not spent is free again. */
    public void settle(Reservation reservation, long spent) {
        if (reservation.epoch() != epoch) {
            return;
        }
        Account account = account(reservation.customer());
        account.reserved -= reservation.tokens();
        account.spent += Math.min(spent, reservation.tokens());
    }

    /** Takes what the leader says at a time in milliseconds. */
    public void accept(SliceGrant grant, long nowMillis) {
        Account account = account(grant.customer());
        account.issued = Math.max(account.issued, grant.issuedTotal());
        account.left = grant.left();
        account.leftAtMillis = nowMillis;
        account.returned += Math.max(0, Math.min(grant.recall(), account.available()));
    }

    /**
     * Returns whether it was known, after a time, that fewer tokens than these are left anywhere.
     */
    public boolean isKnownSpent(String customer, long tokens, long sinceMillis) {
        Account account = account(customer);
        return account.leftAtMillis >= sinceMillis && account.left < tokens;
    }

    /** Gives back all that is free, before the instance leaves. */
    public void returnAll() {
        for (Account account : accounts.values()) {
            account.returned += Math.max(0, account.available());
        }
    }

    /** Drops every slice, since the incarnation was retired; open reservations no longer count. */
    public void startAnew() {
        accounts.clear();
        epoch++;
    }

    /** Returns a report of every slice in use and starts the next interval. */
    public List<SliceStatus> report(long nowMillis) {
        List<SliceStatus> report = new ArrayList<>();
        accounts.forEach(
                (customer, account) -> {
                    updateDemand(account, nowMillis);
                    report.add(
                            new SliceStatus(
                                    customer,
                                    account.issued,
                                    account.spent,
                                    account.reserved,
                                    account.returned,
                                    account.demand,
                                    account.shortage));
                    account.shortage = 0;
                });
        return report;
    }

    private static void updateDemand(Account account, long nowMillis) {
        long used = account.spent + account.reserved;
        double seconds = (nowMillis - account.reportedAtMillis) / 1000.0;
        if (account.reportedAtMillis != 0 && seconds > 0) {
            double rate = Math.max(0, used - account.reportedSpent) / seconds;
            double weight = Math.min(1, seconds / DEMAND_SECONDS);
            account.demand += weight * (rate - account.demand);
        }
        account.reportedSpent = used;
        account.reportedAtMillis = nowMillis;
    }

    private Account account(String customer) {
        return accounts.computeIfAbsent(customer, c -> new Account());
    }
}
