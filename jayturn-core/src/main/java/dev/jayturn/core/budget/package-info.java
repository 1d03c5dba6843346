/**
 * The ledger of a data centre: token reservations, bills, transfers between ledgers and takeover of
 * the open intents of sealed incarnations.
 *
 * <p>A control instance stores its data on disk, takes part in the control log, which is the Raft
 * log of all control instances, and runs a ledger. The ledger of a data centre is the one at its
 * control instance. An entry instance serves callers and opens intents at the ledgers. A grant is
 * the part of a budget's prepaid tokens that the control log assigns to one ledger.
 *
 * <p>An intent is the durable record that one attempt of a request is about to be sent upstream,
 * and reserves the most tokens that the attempt can use. It is open until it is settled with the
 * tokens that were used, which creates its bill. An entry instance opens its intents under the
 * number of its incarnation, which increases when the instance restarts and when it registers again
 * after the ledger has sealed the incarnation. A sealed incarnation can open no more intents.
 */
@NullMarked
package dev.jayturn.core.budget;

import org.jspecify.annotations.NullMarked;
