package dev.jayturn.core.rules;

import java.util.Set;

/**
 * A service whose upstreams do not run models.
 *
 * @param repeatableMethods HTTP methods whose calls may be executed more than once
 * @param price tokens billed for each call
 * @param timeoutMillis timeout for the complete answer
 */
public record PlainService(
        String name, Set<String> repeatableMethods, long price, long timeoutMillis) {}
