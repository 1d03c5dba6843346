/**
 * The replicated state machine of the control log: rules, credits, grants and claims.
 *
 * <p>The control log is the Raft log that the control instances replicate. A credit adds prepaid
 * tokens to a budget; the part of it that goes to a ledger is granted to that ledger. A claim
 * records that the call with an idempotency key is being executed or was executed, so that a repeat
 * of the call is not.
 */
@NullMarked
package dev.jayturn.core.control;

import org.jspecify.annotations.NullMarked;
