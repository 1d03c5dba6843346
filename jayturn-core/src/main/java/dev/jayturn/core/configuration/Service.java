package dev.jayturn.core.configuration;

import org.jspecify.annotations.Nullable;

/**
 * A group of interchangeable upstreams.
 *
 * @param maxConnections connections that one upstream accepts from all instances together
 * @param coldRequestsPerSecond requests per second that a cold upstream tolerates from all
 *     instances together; 0 if cold upstreams get as many as others
 * @param engine null if the upstreams are not model engines
 */
public record Service(
        String name,
        String healthPath,
        int maxConnections,
        double coldRequestsPerSecond,
        @Nullable Engine engine) {}
