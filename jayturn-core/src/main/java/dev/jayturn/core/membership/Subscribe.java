package dev.jayturn.core.membership;

import dev.jayturn.core.transport.Message;

/** Subscribes to a hub or renews the subscription, and asks for changes after these versions. */
public record Subscribe(
        String instance, String dataCentre, long rulesVersion, long epoch, long membersVersion)
        implements Message {}
