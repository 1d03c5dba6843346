package dev.jayturn.core.slice;

/** Records the cumulative total of tokens that a holder has returned. */
public record SliceReturn(String holder, String customer, long returnedTotal) {}
