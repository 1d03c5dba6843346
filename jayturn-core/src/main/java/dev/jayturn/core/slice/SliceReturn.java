package dev.jayturn.core.slice;

/** All tokens that a holder has given back so far. */
public record SliceReturn(String holder, String customer, long returnedTotal) {}
