package dev.jayturn.core.consensus;

/** A command of the replicated log; implementations are records. */
public interface Command {}
