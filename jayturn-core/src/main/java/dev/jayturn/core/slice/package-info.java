/**
 * Division of budgets into slices: a replicated table of the tokens issued to each entry instance,
 * and the account from which an entry instance spends them. Tokens that were issued and not
 * returned are never issued again, so a budget is not overspent when instances are partitioned or
 * crash (escrow method, O'Neil 1986).
 */
@NullMarked
package dev.jayturn.core.slice;

import org.jspecify.annotations.NullMarked;
