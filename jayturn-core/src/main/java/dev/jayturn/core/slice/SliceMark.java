package dev.jayturn.core.slice;

/** The most that a holder may have drawn from its slice while its lease runs. */
public record SliceMark(String holder, String customer, long markTotal) {}
