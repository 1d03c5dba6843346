package dev.jayturn.core.configuration;

import java.util.List;
import java.util.OptionalLong;

/**
 * A customer and the API keys that identify its requests.
 *
 * @param priority rank that is compared before the rank of the route; 0 is the most urgent
 * @param prepaidTokens total tokens that the customer may consume; empty if it has no budget
 * @param regions regions whose upstreams may get the customer's requests
 */
public record Customer(
        String name,
        List<String> keys,
        int priority,
        OptionalLong prepaidTokens,
        RegionSet regions) {}
