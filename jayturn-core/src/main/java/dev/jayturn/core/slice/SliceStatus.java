package dev.jayturn.core.slice;

/**
 * What an entry instance reports of one customer's slice.
 *
 * @param issuedKnown tokens issued to it as far as it has heard
 * @param spent tokens consumed
 * @param reserved tokens held for requests under way, at their most
 * @param returned tokens given back
 * @param demand tokens consumed a second of late
 * @param shortage tokens that a request lacked since the last report
 */
public record SliceStatus(
        String customer,
        long issuedKnown,
        long spent,
        long reserved,
        long returned,
        double demand,
        long shortage) {
    /** Returns the tokens free to be reserved. */
    public long available() {
        return issuedKnown - returned - spent - reserved;
    }
}
