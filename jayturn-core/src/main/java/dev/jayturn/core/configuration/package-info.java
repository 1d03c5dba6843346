/**
 * Configuration of routes, services, limits and customers: model, validation and lookup.
 *
 * <p>This is the configuration of a platform deployment; the daemon jayturnd uses {@code
 * dev.jayturn.core.rules}. Priority 0 is the most urgent, the reverse of the order in the rules.
 */
@NullMarked
package dev.jayturn.core.configuration;

import org.jspecify.annotations.NullMarked;
