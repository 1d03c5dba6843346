/** The processes of a platform deployment: entry instances and control instances. */
@NullMarked
package dev.jayturn.daemon.fleet;

import org.jspecify.annotations.NullMarked;
