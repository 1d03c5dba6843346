package dev.jayturn.core.configuration;

import org.jspecify.annotations.Nullable;

/**
 * A group of equal upstreams.
 *
 * @param maxConnections connections that one upstream accepts from all instances together
 * @param engine null for plain services
 */
public record Service(
        String name, String healthPath, int maxConnections, @Nullable Engine engine) {}
