package dev.jayturn.core.control;

import dev.jayturn.core.journal.JournalRecord;

/** A claimed call with what is known of its outcome. */
public record Claim(
        String customer,
        String key,
        String claimId,
        String fingerprint,
        String service,
        long atMillis,
        CallOutcome outcome)
        implements JournalRecord {
    Claim withOutcome(CallOutcome other) {
        return new Claim(customer, key, claimId, fingerprint, service, atMillis, other);
    }

    String id() {
        return customer + "/" + key;
    }
}
