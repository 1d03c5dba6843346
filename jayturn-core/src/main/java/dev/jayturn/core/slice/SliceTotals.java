package dev.jayturn.core.slice;

/**
 * Cumulative totals of one holder for one customer since the start of its incarnation.
 *
 * @param issued tokens issued to the holder
 * @param returned tokens that the holder has returned
 * @param mark tokens that the holder may draw while its lease runs
 */
public record SliceTotals(long issued, long returned, long mark) {
    static final SliceTotals NONE = new SliceTotals(0, 0, 0);

    /** Returns the tokens that the holder may have spent or can still spend. */
    public long outstanding() {
        return issued - returned;
    }
}
