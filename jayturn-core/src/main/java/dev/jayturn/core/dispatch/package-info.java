/**
 * Decisions on one request at an entry instance: which upstream it is placed at, whether it is
 * turned away, and what is learnt from how it went.
 */
@NullMarked
package dev.jayturn.core.dispatch;

import org.jspecify.annotations.NullMarked;
