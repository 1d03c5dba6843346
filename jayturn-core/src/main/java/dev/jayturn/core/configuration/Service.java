package dev.jayturn.core.configuration;

import org.jspecify.annotations.Nullable;

/**
 * A group of interchangeable upstreams.
 *
 * @param maxConnections connections that one upstream accepts from all instances together
 * @param engine null if the upstreams are not model engines
 */
public record Service(
        String name, String healthPath, int maxConnections, @Nullable Engine engine) {}
