package dev.jayturn.core.fleet;

import dev.jayturn.core.transport.Message;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * An operator's call that a control instance forwards to the leader.
 *
 * @param from instance that the answer is sent to
 * @param id identifies the call among those of all processes of its sender
 * @param version version to put in force; 0 for a read
 * @param document null for a read
 * @param prepaid prepaid tokens of the customers with a budget
 */
public record ConfigurationCall(
        String from, long id, long version, byte @Nullable [] document, Map<String, Long> prepaid)
        implements Message {}
