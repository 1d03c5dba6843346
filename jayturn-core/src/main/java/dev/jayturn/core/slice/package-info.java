/**
 * Budgets in slices: a replicated table of the tokens issued to each entry instance, and the
 * account from which an entry instance spends them. Tokens issued and not returned are never issued
 * again, so no budget is overspent whoever is cut off or dies (escrow, O'Neil 1986).
 */
@NullMarked
package dev.jayturn.core.slice;

import org.jspecify.annotations.NullMarked;
