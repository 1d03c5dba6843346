package dev.jayturn.core.membership;

import dev.jayturn.core.transport.Message;
import java.util.List;

/** Answers {@link HubQuery}. */
public record HubReading(String queryId, String hub, List<InstanceStatus> instances)
        implements Message {}
