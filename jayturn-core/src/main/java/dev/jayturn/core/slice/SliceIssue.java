package dev.jayturn.core.slice;

/** Adds tokens to a holder's slice of a customer's budget. */
public record SliceIssue(String holder, String customer, long tokens) {}
