package dev.jayturn.core.fleet;

import dev.jayturn.core.consensus.Command;
import java.util.Map;

/**
 * Command that puts a configuration in force unless the one in force has the same or a higher
 * version.
 *
 * @param document the compressed configuration
 * @param prepaid prepaid tokens of the customers with a budget
 */
public record PutConfiguration(long version, byte[] document, Map<String, Long> prepaid)
        implements Command {
    @Override
    public int payloadBytes() {
        return document.length;
    }
}
