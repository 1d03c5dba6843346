package dev.jayturn.core.control;

/** The part of a credit that goes to one ledger. */
public record CreditShare(String ledger, long tokens) {}
