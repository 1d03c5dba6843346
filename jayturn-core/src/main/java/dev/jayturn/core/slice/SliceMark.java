package dev.jayturn.core.slice;

/** Raises the cumulative total that a holder may draw from its slice while its lease runs. */
public record SliceMark(String holder, String customer, long markTotal) {}
