package dev.jayturn.core.slice;

/**
 * What an entry instance reports of one customer's slice.
 *
 * @param knownIssuedTotal tokens issued to it as far as it has heard
 * @param knownMarkTotal its mark as far as it has heard
 * @param spent tokens consumed
 * @param reserved tokens held for requests under way, at their most
 * @param returned tokens given back
 * @param netTransferred tokens taken over from other holders, less those given to them
 * @param demandPerSecond tokens that requests here took, or were refused, a second of late
 * @param drawnPerSecond tokens drawn a second of late, those given to others included
 * @param averageRequestTokens tokens that a request takes at its most, on average
 * @param largestShortage tokens that a request lacked since the last report
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
    /** Returns the tokens drawn from the slice, which the mark bounds. */
    public long drawn() {
        return spent + reserved - netTransferred;
    }

    /** Returns the tokens free to be reserved. */
    public long available() {
        return knownIssuedTotal + netTransferred - returned - spent - reserved;
    }
}
