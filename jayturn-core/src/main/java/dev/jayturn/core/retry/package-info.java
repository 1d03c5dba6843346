/**
 * Retry budgets and circuit breakers.
 *
 * <p>{@link RetryBudget} limits all retries of one entry node of the daemon jayturnd. {@link
 * SharedRetryBudget} limits the retries to one service in a platform deployment.
 */
@NullMarked
package dev.jayturn.core.retry;

import org.jspecify.annotations.NullMarked;
