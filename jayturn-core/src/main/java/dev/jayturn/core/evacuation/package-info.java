/**
 * Data centres that operators have emptied: their upstreams get no requests until they are taken
 * back. The control log holds the orders; control instances send the set of emptied data centres to
 * entry instances, which exclude the upstreams there.
 */
@NullMarked
package dev.jayturn.core.evacuation;

import org.jspecify.annotations.NullMarked;
