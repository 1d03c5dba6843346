package dev.jayturn.core.slice;

/**
 * A holder's report on its slice of one customer's budget.
 *
 * @param knownIssuedTotal highest cumulative total of issued tokens that the leader has sent
 * @param knownMarkTotal highest mark that the leader has sent
 * @param spent cumulative total of tokens spent
 * @param reserved tokens reserved for requests in flight, at the maximum that each may use
 * @param returned cumulative total of tokens returned
 * @param netTransferred tokens received from other holders less those transferred to them
 * @param demandPerSecond moving average of the tokens that requests reserved or were refused, per
 *     second
 * @param drawnPerSecond moving average of the tokens drawn, including transfers to other holders,
 *     per second
 * @param averageRequestTokens moving average of the tokens reserved by one request
 * @param largestShortage most tokens that a single request lacked since the last report
 */
public record SliceStatus(
        String customer,
        long knownIssuedTotal,
        long knownMarkTotal,
        long spent,
        long reserved,
        long returned,
        long netTransferred,
        double demandPerSecond,
        double drawnPerSecond,
        double averageRequestTokens,
        long largestShortage) {
    /** Returns the tokens drawn from the slice, which the mark limits while a lease runs. */
    public long drawn() {
        return spent + reserved - netTransferred;
    }

    /** Returns the tokens that can be reserved, disregarding the mark. */
    public long free() {
        return knownIssuedTotal + netTransferred - returned - spent - reserved;
    }
}
