package dev.jayturn.core.consensus;

/** Changes nothing; a new leader appends it to commit the entries of earlier terms. */
public record NoOp() implements Command {}
