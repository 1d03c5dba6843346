package dev.jayturn.core.membership;

import dev.jayturn.core.transport.Message;

/** A hub's current versions; answers {@link Subscribe}. */
public record HubStatus(String hub, long rulesVersion, long epoch, long membersVersion)
        implements Message {}
