package dev.jayturn.core.budget;

import dev.jayturn.core.transport.Message;

/**
 * Asks a ledger to reserve tokens and to record that a request is about to be sent upstream.
 *
 * @param intentId unique per request and attempt; also the id of the stream at the upstream
 * @param reserve maximum number of tokens that the request can use
 * @param upstream address of the upstream, which a takeover needs to cancel the stream
 * @param tombstones whether the upstream refuses a stream id after it was cancelled
 * @param key the caller's idempotency key with the request's fingerprint; empty if none
 * @param waitMillis maximum time for which the ledger may wait for tokens of other ledgers
 */
public record OpenIntent(
        String intentId,
        String customer,
        String budget,
        long reserve,
        String instance,
        long incarnation,
        String upstream,
        boolean tombstones,
        String key,
        long waitMillis)
        implements Message {}
