package dev.jayturn.daemon.proxy;

import dev.jayturn.core.dispatch.RequestProfile;

/**
 * What a caller's request head says.
 *
 * @param id names the request; empty if the caller gave none
 * @param apiKey the customer's key; empty if there is none
 * @param timeoutMillis how long the caller waits; 0 if it did not say
 * @param lastEventId event after which a stream goes on; empty for a new one
 */
public record CallerRequest(
        String id, String apiKey, long timeoutMillis, RequestProfile profile, String lastEventId) {}
