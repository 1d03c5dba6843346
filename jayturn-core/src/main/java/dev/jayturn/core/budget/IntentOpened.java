package dev.jayturn.core.budget;

import dev.jayturn.core.journal.JournalRecord;

/** Journal record: tokens were reserved for a request that is about to be sent upstream. */
public record IntentOpened(
        String intentId,
        String customer,
        String budget,
        long reserve,
        String instance,
        long incarnation,
        String upstream,
        boolean tombstones,
        String key)
        implements JournalRecord {
    static IntentOpened from(OpenIntent open) {
        return new IntentOpened(
                open.intentId(),
                open.customer(),
                open.budget(),
                open.reserve(),
                open.instance(),
                open.incarnation(),
                open.upstream(),
                open.tombstones(),
                open.key());
    }
}
