package dev.jayturn.core.fleet;

import dev.jayturn.core.consensus.Command;
import java.util.Map;

/**
 * Puts a configuration in force unless one with the same or a higher version is.
 *
 * @param document what the operator sent, compressed
 * @param prepaid prepaid tokens of the customers with a budget
 */
public record PutConfiguration(long version, byte[] document, Map<String, Long> prepaid)
        implements Command {}
