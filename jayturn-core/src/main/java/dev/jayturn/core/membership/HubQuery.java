package dev.jayturn.core.membership;

import dev.jayturn.core.transport.Message;

/** Asks a hub for the instances that are subscribed to it. */
public record HubQuery(String queryId, String from) implements Message {}
