/**
 * The protocol between the instances of a platform deployment, which are the entry and control
 * processes of the package {@code daemon.fleet}, started by the platform module. Control instances
 * replicate the configuration and the slices through consensus. Entry instances accept callers'
 * requests, report to the control instances and apply their updates.
 */
@NullMarked
package dev.jayturn.core.fleet;

import org.jspecify.annotations.NullMarked;
