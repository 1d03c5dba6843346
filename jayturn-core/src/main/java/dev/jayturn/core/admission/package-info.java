/**
 * Which requests are delayed or turned away when there is too little room for all of them.
 *
 * <p>Work is in the unit of the room in question: bytes of a link, or tokens. Times are
 * milliseconds of an instance's own monotonic clock. Nothing here throws checked exceptions.
 */
@NullMarked
package dev.jayturn.core.admission;

import org.jspecify.annotations.NullMarked;
