package dev.jayturn.core.transport;

/** A message between instances; implementations are records. */
public interface Message {}
