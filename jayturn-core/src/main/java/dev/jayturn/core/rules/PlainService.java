package dev.jayturn.core.rules;

import java.util.Set;

/**
 * A plain service.
 *
 * @param repeatableMethods HTTP methods that may repeat
 * @param price tokens billed for a call
 * @param timeoutMillis time for a whole answer
 */
public record PlainService(
        String name, Set<String> repeatableMethods, long price, long timeoutMillis) {}
