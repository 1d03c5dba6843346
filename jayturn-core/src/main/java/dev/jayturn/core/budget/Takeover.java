package dev.jayturn.core.budget;

import dev.jayturn.core.transport.Addresses;
import dev.jayturn.core.transport.Transport;
import java.util.ArrayList;
import org.jspecify.annotations.Nullable;

/**
 * Settles what a sealed incarnation left open. The upstream is told to cancel the stream and to
 * refuse its id from then on; only then can nothing more run under it. An upstream that keeps no
 * tombstone is asked once a successor shows that the old incarnation has ended.
 */
final class Takeover {
    private static final int MAX_CANCELS_PER_TICK = 500;

    private final LedgerConfig config;
    private final LedgerState state;
    private final Transport transport;
    private final IntentCloser intentCloser;

    /** Closes an intent with its count of tokens. */
    interface IntentCloser {
        void close(String intentId, long tokens);
    }

    Takeover(LedgerConfig config, LedgerState state, Transport transport, IntentCloser closer) {
        this.config = config;
        this.state = state;
        this.transport = transport;
        this.intentCloser = closer;
    }

    void tick() {
        int sent = 0;
        for (IntentOpened intent : new ArrayList<>(state.openIntents())) {
            if (sent == MAX_CANCELS_PER_TICK) {
                return;
            }
            if (isSealed(intent) && (intent.tombstones() || hasSuccessor(intent))) {
                sent++;
                CancelStream cancel = new CancelStream(intent.intentId(), config.name());
                transport.send(Addresses.UPSTREAM_PREFIX + intent.upstream(), cancel);
            }
        }
    }

    void onStreamCancelled(StreamCancelled answer) {
        @Nullable IntentOpened intent = state.findOpen(answer.intentId());
        if (intent == null || !isSealed(intent)) {
            return;
        }
        if (answer.tombstone() || hasSuccessor(intent)) {
            intentCloser.close(answer.intentId(), answer.tokens());
        }
    }

    private boolean isSealed(IntentOpened intent) {
        return state.isSealed(intent.instance(), intent.incarnation());
    }

    private boolean hasSuccessor(IntentOpened intent) {
        return state.currentIncarnation(intent.instance()) > intent.incarnation();
    }
}
