package dev.jayturn.core.configuration;

/** A service and its share of a route's requests, relative to the other weights of the route. */
public record ServiceWeight(String service, double weight) {}
