/** The operators' configuration of routes, services, limits and customers, checked and indexed. */
@NullMarked
package dev.jayturn.core.configuration;

import org.jspecify.annotations.NullMarked;
