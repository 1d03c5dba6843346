package dev.jayturn.core.request;

import dev.jayturn.core.budget.IntentAnswer;
import dev.jayturn.core.budget.IntentSettled;
import dev.jayturn.core.budget.OpenIntent;
import dev.jayturn.core.budget.Register;
import dev.jayturn.core.budget.Registered;
import dev.jayturn.core.budget.SettleIntent;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.timer.Cancellable;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Transport;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * An entry instance's dealings with one ledger. A settlement is repeated until it is confirmed. A
 * sealed incarnation opens nothing more, and a new one starts only after its last stream ended.
 */
final class LedgerLink {
    private static final long RESEND_INTERVAL_MILLIS = 200;
    private static final long REPLY_TIMEOUT_MILLIS = 3_000;

    private final String ledger;
    private final String instance;
    private final Transport transport;
    private final TimerService timers;
    private final Map<String, PendingIntent> pendingIntents = new HashMap<>();
    private final Map<String, Long> unconfirmedSettlements = new HashMap<>();
    private final Set<String> openIntents = new HashSet<>();
    private long incarnation;
    private boolean registered;
    private boolean sealed;
    private long sealedIncarnation;
    private long lastReplyMillis = -REPLY_TIMEOUT_MILLIS;

    private record PendingIntent(
            OpenIntent intent, Consumer<ResultCode> callback, Cancellable timeout) {}

    LedgerLink(
            String ledger,
            String instance,
            long incarnation,
            Transport transport,
            TimerService timers) {
        this.ledger = ledger;
        this.instance = instance;
        this.incarnation = incarnation;
        this.transport = transport;
        this.timers = timers;
        register();
        timers.every(RESEND_INTERVAL_MILLIS, this::resend);
    }

    String ledger() {
        return ledger;
    }

    /** Returns whether the ledger has answered lately and takes intents. */
    boolean isUsable() {
        return registered && !sealed && timers.nowMillis() - lastReplyMillis < REPLY_TIMEOUT_MILLIS;
    }

    boolean isIdle() {
        return pendingIntents.isEmpty()
                && unconfirmedSettlements.isEmpty()
                && openIntents.isEmpty();
    }

    void register() {
        if (sealed && pendingIntents.isEmpty() && openIntents.isEmpty()) {
            incarnation = Math.max(incarnation, sealedIncarnation) + 1;
            sealed = false;
        }
        if (!sealed) {
            transport.send(ledger, new Register(instance, incarnation));
        }
    }

    void handle(Registered reply) {
        lastReplyMillis = timers.nowMillis();
        if (reply.code() == ResultCode.OK) {
            registered = registered || reply.incarnation() == incarnation;
        } else if (reply.incarnation() >= incarnation) {
            seal(reply.incarnation());
        }
    }

    private void seal(long floor) {
        sealed = true;
        registered = false;
        sealedIncarnation = floor;
        for (PendingIntent opening : Map.copyOf(pendingIntents).values()) {
            fail(opening, ResultCode.INSTANCE_SEALED);
        }
    }

    void open(OpenIntent draft, Consumer<ResultCode> answer) {
        OpenIntent intent =
                new OpenIntent(
                        draft.intentId(),
                        draft.customer(),
                        draft.budget(),
                        draft.reserve(),
                        instance,
                        incarnation,
                        draft.upstream(),
                        draft.tombstones(),
                        draft.key(),
                        draft.waitMillis());
        long patience = draft.waitMillis() + 2 * RESEND_INTERVAL_MILLIS;
        Cancellable timeout = timers.schedule(patience, () -> onTimeout(intent.intentId()));
        pendingIntents.put(intent.intentId(), new PendingIntent(intent, answer, timeout));
        transport.send(ledger, intent);
    }

    private void onTimeout(String intentId) {
        PendingIntent opening = pendingIntents.get(intentId);
        if (opening != null) {
            fail(opening, ResultCode.LEDGER_UNREACHABLE);
        }
    }

    /** Ends an opening; what the ledger may have recorded of it is settled with nothing. */
    private void fail(PendingIntent opening, ResultCode code) {
        String intentId = opening.intent().intentId();
        pendingIntents.remove(intentId);
        opening.timeout().cancel();
        settle(intentId, 0);
        opening.callback().accept(code);
    }

    void abandon(String intentId) {
        PendingIntent opening = pendingIntents.remove(intentId);
        if (opening != null) {
            opening.timeout().cancel();
            settle(intentId, 0);
        }
    }

    void handle(IntentAnswer reply) {
        lastReplyMillis = timers.nowMillis();
        PendingIntent opening = pendingIntents.remove(reply.intentId());
        if (opening == null) {
            // The call has gone on without this intent; what was recorded is given back.
            boolean late = reply.code() == ResultCode.OK && !openIntents.contains(reply.intentId());
            if (late && !unconfirmedSettlements.containsKey(reply.intentId())) {
                settle(reply.intentId(), 0);
            }
            return;
        }
        opening.timeout().cancel();
        if (reply.code() == ResultCode.OK) {
            openIntents.add(reply.intentId());
        }
        if (reply.code() == ResultCode.INSTANCE_SEALED) {
            seal(incarnation);
        }
        opening.callback().accept(reply.code());
    }

    void settle(String intentId, long tokens) {
        openIntents.remove(intentId);
        unconfirmedSettlements.put(intentId, tokens);
        transport.send(ledger, new SettleIntent(intentId, tokens, instance));
    }

    void handle(IntentSettled reply) {
        lastReplyMillis = timers.nowMillis();
        unconfirmedSettlements.remove(reply.intentId());
    }

    private void resend() {
        for (PendingIntent opening : pendingIntents.values()) {
            transport.send(ledger, opening.intent());
        }
        unconfirmedSettlements.forEach(
                (id, tokens) -> transport.send(ledger, new SettleIntent(id, tokens, instance)));
    }
}
