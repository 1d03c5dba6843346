/**
 * The protocol between the instances of a deployment on the platform. Control instances replicate
 * the configuration and the slices through consensus. Entry instances accept callers' requests,
 * report to the control instances and apply their updates.
 */
@NullMarked
package dev.jayturn.core.fleet;

import org.jspecify.annotations.NullMarked;
