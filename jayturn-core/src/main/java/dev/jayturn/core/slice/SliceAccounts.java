package dev.jayturn.core.slice;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The slices from which one incarnation of an entry instance spends tokens. Spending from a slice
 * requires no communication, so it continues while the instance is partitioned from the others.
 */
public final class SliceAccounts {
    /** Time constant of the moving averages of demand and drawn tokens, in seconds. */
    private static final double DEMAND_AVERAGE_SECONDS = 4;

    /** Weight of one request in the moving average of the tokens reserved by a request. */
    private static final double REQUEST_TOKENS_SMOOTHING = 0.2;

    private final Map<String, Account> accounts = new HashMap<>();
    private final Map<String, Long> transferredTotals = new HashMap<>();
    private final Map<String, Long> receivedTotals = new HashMap<>();
    private long epoch;
    private boolean limitedToMarks = true;

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

        long free(boolean leased) {
            long free = issued + netTransferred - returned - spent - reserved;
            return leased ? Math.min(free, mark - drawn()) : free;
        }

        long drawn() {
            return spent + reserved - netTransferred;
        }
    }

    /**
     * Tokens reserved for one request.
     *
     * @param epoch number of retired incarnations of these accounts when the tokens were reserved;
     *     a reservation of an earlier incarnation is not settled
     */
    public record Reservation(String customer, long tokens, long epoch) {}

    /** Sets whether a lease runs, during which no more than the marks may be drawn. */
    public void setLimitedToMarks(boolean leaseRuns) {
        limitedToMarks = leaseRuns;
    }

    /** Returns whether this many tokens can be reserved. */
    public boolean canReserve(String customer, long tokens) {
        return account(customer).free(limitedToMarks) >= tokens;
    }

    /** Reserves tokens for a request; the caller must have checked {@link #canReserve}. */
    public Reservation reserve(String customer, long tokens) {
        Account account = account(customer);
        account.reserved += tokens;
        account.averageRequestTokens +=
                REQUEST_TOKENS_SMOOTHING * (tokens - account.averageRequestTokens);
        return new Reservation(customer, tokens, epoch);
    }

    /** Records that a request lacked tokens, so that the next report asks for them. */
    public void recordShortage(String customer, long tokens) {
        Account account = account(customer);
        account.largestShortage = Math.max(account.largestShortage, tokens);
    }

    /** Records a request that was refused for lack of tokens, which counts as demand as well. */
    public void recordUnmetDemand(String customer, long tokens) {
        account(customer).unmetDemand += tokens;
    }

    /**
     * Settles a reservation and releases the tokens that were not spent. A reservation of an
     * earlier incarnation is ignored, because its tokens no longer count in these accounts.
     */
    public void settle(Reservation reservation, long spent) {
        if (reservation.epoch() != epoch) {
            return;
        }
        Account account = account(reservation.customer());
        account.reserved -= reservation.tokens();
        account.spent += Math.min(spent, reservation.tokens());
    }

    /** Applies the state of a slice received from the leader. */
    public void applyGrant(SliceGrant grant, long nowMillis) {
        Account account = account(grant.customer());
        account.issued = Math.max(account.issued, grant.issuedTotal());
        account.mark = Math.max(account.mark, grant.markTotal());
        account.budgetRemaining = grant.budgetRemaining();
        account.budgetRemainingAtMillis = nowMillis;
        returnTokens(account, grant.recallTokens());
    }

    /**
     * Returns whether the leader has reported since a given time that fewer tokens than these
     * remain in the whole budget.
     */
    public boolean isKnownExhausted(String customer, long tokens, long sinceMillis) {
        Account account = account(customer);
        return account.budgetRemainingAtMillis >= sinceMillis && account.budgetRemaining < tokens;
    }

    /** Returns all free tokens; called before the instance leaves. */
    public void returnAllFree() {
        for (Account account : accounts.values()) {
            returnTokens(account, account.free(false));
        }
    }

    /**
     * Returns free tokens. Only tokens that were issued to this holder can be returned; those
     * received from other holders stay until they are spent or transferred.
     */
    private static void returnTokens(Account account, long tokens) {
        long returnable = Math.min(account.free(false), account.issued - account.returned);
        account.returned += Math.max(0, Math.min(tokens, returnable));
    }

    /**
     * Transfers tokens to another holder that asked for them.
     *
     * @param allowPartial whether half of the free tokens are transferred if there are too few;
     *     otherwise none are
     * @return cumulative total of tokens transferred to that holder
     */
    public long transferOnRequest(
            String customer, long tokens, boolean allowPartial, String toHolder) {
        Account account = account(customer);
        long free = Math.max(0, account.free(limitedToMarks));
        long amount = free >= tokens ? tokens : allowPartial ? free / 2 : 0;
        account.averageRequestTokens +=
                REQUEST_TOKENS_SMOOTHING * (tokens - account.averageRequestTokens);
        return transfer(customer, amount, toHolder);
    }

    /**
     * Transfers the free tokens that were received from other holders. Tokens issued to this holder
     * are not transferred, because a holder can return only tokens that were issued to it, and a
     * transferred token is lost if the receiving holder crashes.
     *
     * @return cumulative total of tokens transferred to that holder
     */
    public long transferSurplus(String customer, String toHolder) {
        Account account = account(customer);
        long surplus = Math.min(account.free(limitedToMarks), account.netTransferred);
        return transfer(customer, Math.max(0, surplus), toHolder);
    }

    /** Returns the free tokens issued to this holder; called when another instance is the home. */
    public void returnFreeIssued(String customer) {
        Account account = account(customer);
        returnTokens(account, account.free(false) - Math.max(0, account.netTransferred));
    }

    /** Returns the customers whose slices have free tokens. */
    public List<String> customersWithFreeTokens() {
        List<String> customers = new ArrayList<>();
        accounts.forEach(
                (customer, account) -> {
                    if (account.free(false) > 0) {
                        customers.add(customer);
                    }
                });
        return customers;
    }

    /** Returns the cumulative total of tokens transferred to a holder. */
    public long transferredTo(String customer, String toHolder) {
        return transferredTotals.getOrDefault(toHolder + ' ' + customer, 0L);
    }

    private long transfer(String customer, long tokens, String toHolder) {
        account(customer).netTransferred -= tokens;
        return transferredTotals.merge(toHolder + ' ' + customer, tokens, Long::sum);
    }

    /**
     * Credits a transfer from another holder. Idempotent: only the increase of the cumulative total
     * is credited, so that repeated and reordered messages have no effect.
     */
    public void receiveTransfer(String fromHolder, String customer, long transferTotal) {
        String key = fromHolder + ' ' + customer;
        long previousTotal = receivedTotals.getOrDefault(key, 0L);
        if (transferTotal > previousTotal) {
            receivedTotals.put(key, transferTotal);
            account(customer).netTransferred += transferTotal - previousTotal;
        }
    }

    /** Discards all slices and open reservations after the incarnation was retired. */
    public void startNewIncarnation() {
        accounts.clear();
        transferredTotals.clear();
        receivedTotals.clear();
        epoch++;
    }

    /** Returns the state on which decisions about a customer's tokens are based. */
    public SliceView view(String customer) {
        Account account = account(customer);
        return new SliceView(
                account.free(false),
                account.mark - account.drawn(),
                limitedToMarks,
                account.budgetRemaining);
    }

    /** Returns the status of every slice in use and starts the next reporting interval. */
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
        long totalDemand = account.spent + account.reserved + account.unmetDemand;
        long totalDrawn = account.drawn();
        double seconds = (nowMillis - account.reportedAtMillis) / 1000.0;
        if (account.reportedAtMillis != 0 && seconds > 0) {
            double weight = Math.min(1, seconds / DEMAND_AVERAGE_SECONDS);
            double demandPerSecond = Math.max(0, totalDemand - account.reportedDemand) / seconds;
            double drawnPerSecond = Math.max(0, totalDrawn - account.reportedDrawn) / seconds;
            account.demandPerSecond += weight * (demandPerSecond - account.demandPerSecond);
            account.drawnPerSecond += weight * (drawnPerSecond - account.drawnPerSecond);
        }
        account.reportedDemand = totalDemand;
        account.reportedDrawn = totalDrawn;
        account.reportedAtMillis = nowMillis;
    }

    private Account account(String customer) {
        return accounts.computeIfAbsent(customer, c -> new Account());
    }
}
