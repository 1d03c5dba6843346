package dev.jayturn.core.slice;

/** Tokens issued to a holder and given back by it, since its incarnation began. */
public record SliceTotals(long issued, long returned) {
    static final SliceTotals NONE = new SliceTotals(0, 0);

    /** Returns the tokens that the holder may have spent or may still spend. */
    public long outstanding() {
        return issued - returned;
    }
}
