/** Handling of one request at the entry instance, from admission to billing. */
@NullMarked
package dev.jayturn.core.request;

import org.jspecify.annotations.NullMarked;
