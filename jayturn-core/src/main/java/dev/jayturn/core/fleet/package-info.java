/**
 * What binds the instances of a platform deployment together: control instances that agree on the
 * configuration and on slices, and entry instances that report to them and obey them.
 */
@NullMarked
package dev.jayturn.core.fleet;

import org.jspecify.annotations.NullMarked;
