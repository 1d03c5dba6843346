/** Configuration of routes, services, limits and customers: model, validation and lookup. */
@NullMarked
package dev.jayturn.core.configuration;

import org.jspecify.annotations.NullMarked;
