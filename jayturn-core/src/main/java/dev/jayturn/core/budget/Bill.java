package dev.jayturn.core.budget;

import dev.jayturn.core.journal.JournalRecord;

/**
 * The bill of a settled intent.
 *
 * @param tokens tokens billed
 * @param repeated tokens used but not billed, because the same call was billed before
 * @param key the caller's idempotency key with the request's fingerprint; empty if none
 */
public record Bill(
        String intentId, String customer, String budget, long tokens, long repeated, String key)
        implements JournalRecord {}
