/** The only source of random numbers, so that a run can be reproduced from its seed. */
@NullMarked
package dev.jayturn.core.random;

import org.jspecify.annotations.NullMarked;
