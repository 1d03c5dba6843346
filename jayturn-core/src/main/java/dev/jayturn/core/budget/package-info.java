/**
 * The ledger of a data centre: token reservations, bills, transfers between ledgers and takeover of
 * the open intents of sealed incarnations.
 */
@NullMarked
package dev.jayturn.core.budget;

import org.jspecify.annotations.NullMarked;
