package dev.jayturn.core.fleet;

import dev.jayturn.core.transport.Message;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * An operator's call that a control instance passes on to the leader.
 *
 * @param id names the call at its sender
 * @param document null for a read
 */
public record ConfigurationCall(
        String from, long id, long version, byte @Nullable [] document, Map<String, Long> prepaid)
        implements Message {}
