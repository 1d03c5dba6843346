package dev.jayturn.core.budget;

import dev.jayturn.core.transport.Addresses;
import dev.jayturn.core.transport.Transport;
import java.util.ArrayList;
import org.jspecify.annotations.Nullable;

/**
 * Settles the open intents of sealed incarnations. The upstream is told to cancel the stream and to
 * refuse its id from then on (to keep a tombstone); only then can nothing more run under that id.
 * An upstream that keeps no tombstones is told to cancel only once a newer incarnation has
 * registered, which shows that the sealed one has ended and can send nothing more.
 */
final class Takeover {
    private static final int MAX_CANCELS_PER_TICK = 500;

    private final LedgerConfig config;
    private final LedgerState state;
    private final Transport transport;
    private final IntentSettler intentSettler;

    /** Closes an intent with the number of tokens that were used. */
    interface IntentSettler {
        void settle(String intentId, long tokens);
    }

    Takeover(
            LedgerConfig config,
            LedgerState state,
            Transport transport,
            IntentSettler intentCloser) {
        this.config = config;
        this.state = state;
        this.transport = transport;
        this.intentSettler = intentCloser;
    }

    void tick() {
        int cancelsSent = 0;
        for (IntentOpened intent : new ArrayList<>(state.openIntents())) {
            if (cancelsSent == MAX_CANCELS_PER_TICK) {
                return;
            }
            if (isSealed(intent) && (intent.tombstones() || hasSuccessor(intent))) {
                cancelsSent++;
                CancelStream cancel = new CancelStream(intent.intentId(), config.id());
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
            intentSettler.settle(answer.intentId(), answer.tokens());
        }
    }

    private boolean isSealed(IntentOpened intent) {
        return state.isSealed(intent.instance(), intent.incarnation());
    }

    private boolean hasSuccessor(IntentOpened intent) {
        return state.currentIncarnation(intent.instance()) > intent.incarnation();
    }
}
