package dev.jayturn.core.slice;

/**
 * Tokens issued to a holder and given back by it, since its incarnation began.
 *
 * @param mark most that it may have drawn while its lease runs
 */
public record SliceTotals(long issued, long returned, long mark) {
    static final SliceTotals NONE = new SliceTotals(0, 0, 0);

    /** Returns the tokens that the holder may have spent or may still spend. */
    public long outstanding() {
        return issued - returned;
    }
}
