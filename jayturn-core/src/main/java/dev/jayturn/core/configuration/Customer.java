package dev.jayturn.core.configuration;

import java.util.List;
import java.util.OptionalLong;

/**
 * Who calls, with which keys.
 *
 * @param priority rank that goes before the route's, 0 is the most urgent
 * @param prepaidTokens all that may be consumed; empty where there is no budget
 */
public record Customer(String name, List<String> keys, int priority, OptionalLong prepaidTokens) {}
