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
    private static final double DEMAND_AVERAGE_SECONDS = 4;

    /** Weight of a request in the average of their sizes. */
    private static final double REQUEST_TOKENS_SMOOTHING = 0.2;

    private final Map<String, Account> accounts = new HashMap<>();
    private final Map<String, Long> transferTotals = new HashMap<>();
    private final Map<String, Long> receivedTotals = new HashMap<>();
    private long epoch;
    private boolean leased = true;

    private static final class Account {
        long issued;
        long mark;
        long returned;
        long netTransferred;
        long spent;
        long reserved;
        long budgetRemaining;
        long budgetRemainingAtMillis = Long.MIN_VALUE;
        long largestShortage;
        long unmetDemand;
        long reportedDemand;
        long reportedDrawn;
        long reportedAtMillis;
        double demandPerSecond;
        double drawnPerSecond;
        double averageRequestTokens;

        long available(boolean leased) {
            long free = issued + netTransferred - returned - spent - reserved;
            return leased ? Math.min(free, mark - drawn()) : free;
        }

        long drawn() {
            return spent + reserved - netTransferred;
        }
    }

    /**
     * Tokens held for one request.
     *
     * @param epoch incarnation of the accounts that they were taken from
     */
    public record Reservation(String customer, long tokens, long epoch) {}

    /** Sets whether a lease runs, so that no more than the marks may be drawn. */
    public void setLeased(boolean runs) {
        leased = runs;
    }

    /** Returns whether so many tokens are free. */
    public boolean hasFree(String customer, long tokens) {
        return account(customer).available(leased) >= tokens;
    }

    /** Takes tokens for a request; call only if they are free. */
    public Reservation reserve(String customer, long tokens) {
        Account account = account(customer);
        account.reserved += tokens;
        account.averageRequestTokens +=
                REQUEST_TOKENS_SMOOTHING * (tokens - account.averageRequestTokens);
        return new Reservation(customer, tokens, epoch);
    }

    /** Notes that a request lacked tokens, so that the next report asks for them. */
    public void recordShortage(String customer, long tokens) {
        Account account = account(customer);
        account.largestShortage = Math.max(account.largestShortage, tokens);
    }

    /** Notes a request that was refused for lack of tokens: it is demand all the same. */
    public void recordUnmetDemand(String customer, long tokens) {
        account(customer).unmetDemand += tokens;
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
    public void applyGrant(SliceGrant grant, long nowMillis) {
        Account account = account(grant.customer());
        account.issued = Math.max(account.issued, grant.issuedTotal());
        account.mark = Math.max(account.mark, grant.markTotal());
        account.budgetRemaining = grant.budgetRemaining();
        account.budgetRemainingAtMillis = nowMillis;
        returnTokens(account, grant.recallTokens());
    }

    /**
     * Returns whether it was known, after a time, that fewer tokens than these are left anywhere.
     */
    public boolean isKnownExhausted(String customer, long tokens, long sinceMillis) {
        Account account = account(customer);
        return account.budgetRemainingAtMillis >= sinceMillis && account.budgetRemaining < tokens;
    }

    /** Gives back all that is free, before the instance leaves. */
    public void returnAllFree() {
        for (Account account : accounts.values()) {
            returnTokens(account, account.available(false));
        }
    }

    /** Only tokens that were issued here can be returned; what others gave stays until spent. */
    private static void returnTokens(Account account, long tokens) {
        long most = Math.min(account.available(false), account.issued - account.returned);
        account.returned += Math.max(0, Math.min(tokens, most));
    }

    /**
     * Gives tokens to another holder: what it lacks if there is enough, else nothing or a part.
     *
     * @param partly whether half of too little is given
     * @return all that was given to it so far
     */
    public long transferRequested(String customer, long tokens, boolean partly, String toHolder) {
        Account account = account(customer);
        long free = Math.max(0, account.available(leased));
        long amount = free >= tokens ? tokens : partly ? free / 2 : 0;
        account.averageRequestTokens +=
                REQUEST_TOKENS_SMOOTHING * (tokens - account.averageRequestTokens);
        return transfer(customer, amount, toHolder);
    }

    /**
     * Gives what is free of others' tokens to another holder. Tokens that were issued here are not
     * passed on: once passed on they are lost with whoever holds them, as nobody can return them.
     *
     * @return all that was given to it so far
     */
    public long transferSurplus(String customer, String toHolder) {
        Account account = account(customer);
        long surplus = Math.min(account.available(leased), account.netTransferred);
        return transfer(customer, Math.max(0, surplus), toHolder);
    }

    /** Gives back what is free of the tokens issued here, since the slice belongs elsewhere. */
    public void returnFreeIssued(String customer) {
        Account account = account(customer);
        returnTokens(account, account.available(false) - Math.max(0, account.netTransferred));
    }

    /** Returns the customers with free tokens here. */
    public List<String> customersWithFreeTokens() {
        List<String> customers = new ArrayList<>();
        accounts.forEach(
                (customer, account) -> {
                    if (account.available(false) > 0) {
                        customers.add(customer);
                    }
                });
        return customers;
    }

    /** Returns all that was given to a holder so far. */
    public long transferredTo(String customer, String toHolder) {
        return transferTotals.getOrDefault(toHolder + ' ' + customer, 0L);
    }

    private long transfer(String customer, long tokens, String toHolder) {
        account(customer).netTransferred -= tokens;
        return transferTotals.merge(toHolder + ' ' + customer, tokens, Long::sum);
    }

    /** Takes tokens from another holder, which has given so many in all. */
    public void receiveTransfer(String fromHolder, String customer, long givenTotal) {
        String key = fromHolder + ' ' + customer;
        long before = receivedTotals.getOrDefault(key, 0L);
        if (givenTotal > before) {
            receivedTotals.put(key, givenTotal);
            account(customer).netTransferred += givenTotal - before;
        }
    }

    /** Drops every slice, since the incarnation was retired; open reservations no longer count. */
    public void startNewIncarnation() {
        accounts.clear();
        transferTotals.clear();
        receivedTotals.clear();
        epoch++;
    }

    /** Returns what a decision on a customer's tokens rests on. */
    public SliceView view(String customer) {
        Account account = account(customer);
        return new SliceView(
                account.available(false),
                account.mark - account.drawn(),
                leased,
                account.budgetRemaining);
    }

    /** Returns a report of every slice in use and starts the next interval. */
    public List<SliceStatus> report(long nowMillis) {
        List<SliceStatus> report = new ArrayList<>();
        accounts.forEach(
                (customer, account) -> {
                    updateRates(account, nowMillis);
                    report.add(
                            new SliceStatus(
                                    customer,
                                    account.issued,
                                    account.mark,
                                    account.spent,
                                    account.reserved,
                                    account.returned,
                                    account.netTransferred,
                                    account.demandPerSecond,
                                    account.drawnPerSecond,
                                    account.averageRequestTokens,
                                    account.largestShortage));
                    account.largestShortage = 0;
                });
        return report;
    }

    private static void updateRates(Account account, long nowMillis) {
        long used = account.spent + account.reserved + account.unmetDemand;
        long drawn = account.drawn();
        double seconds = (nowMillis - account.reportedAtMillis) / 1000.0;
        if (account.reportedAtMillis != 0 && seconds > 0) {
            double weight = Math.min(1, seconds / DEMAND_AVERAGE_SECONDS);
            double demand = Math.max(0, used - account.reportedDemand) / seconds;
            double outflow = Math.max(0, drawn - account.reportedDrawn) / seconds;
            account.demandPerSecond += weight * (demand - account.demandPerSecond);
            account.drawnPerSecond += weight * (outflow - account.drawnPerSecond);
        }
        account.reportedDemand = used;
        account.reportedDrawn = drawn;
        account.reportedAtMillis = nowMillis;
    }

    private Account account(String customer) {
        return accounts.computeIfAbsent(customer, c -> new Account());
    }
}
