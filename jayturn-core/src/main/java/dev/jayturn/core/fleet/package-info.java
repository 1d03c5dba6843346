/**
 * The protocol between the instances of a platform deployment: control instances replicate the
 * configuration and the slices through consensus, and entry instances report to them and apply
 * their updates.
 */
@NullMarked
package dev.jayturn.core.fleet;

import org.jspecify.annotations.NullMarked;
