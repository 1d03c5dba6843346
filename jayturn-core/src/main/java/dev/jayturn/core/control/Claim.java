package dev.jayturn.core.control;

import dev.jayturn.core.journal.JournalRecord;

/**
 * A claimed call and its outcome; also a snapshot record.
 *
 * @param key the caller's idempotency key
 * @param claimId id of the call that holds the claim
 * @param fingerprint fingerprint of the request, to detect reuse of the key
 */
public record Claim(
        String customer,
        String key,
        String claimId,
        String fingerprint,
        String service,
        long atMillis,
        CallOutcome outcome)
        implements JournalRecord {
    Claim withOutcome(CallOutcome newOutcome) {
        return new Claim(customer, key, claimId, fingerprint, service, atMillis, newOutcome);
    }

    String id() {
        return customer + "/" + key;
    }
}
