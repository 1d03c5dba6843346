package dev.jayturn.core.consensus;

import dev.jayturn.core.transport.Message;

/** Asks the leader to add the sender as a learner; followers forward it. */
public record JoinRequest(String from) implements Message {}
