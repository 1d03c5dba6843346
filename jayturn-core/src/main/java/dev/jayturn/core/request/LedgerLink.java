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
 * An entry instance's link to one ledger. Settlements are resent until the ledger confirms them.
 * After the ledger has sealed the incarnation, the link opens no intents until it has registered a
 * new incarnation. It does so once all intents of the sealed incarnation have been settled.
 */
final class LedgerLink {
    private static final long RESEND_INTERVAL_MILLIS = 200;
    private static final long REPLY_TIMEOUT_MILLIS = 3_000;

    /** The name of the control instance; the ledger's id is this name, "#" and a store id. */
    private final String ledger;

    private final String instance;
    private final Transport transport;
    private final TimerService timers;
    private final Map<String, PendingIntent> pendingIntents = new HashMap<>();
    private final Map<String, Long> unconfirmedSettlements = new HashMap<>();
    private final Set<String> openIntents = new HashSet<>();

    /** Incarnation at this ledger; each link increases its own after the ledger has sealed it. */
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

    /** Returns the name of the control instance that runs the ledger; not the ledger's id. */
    String ledger() {
        return ledger;
    }

    /** Returns whether the ledger replied recently and accepts intents of this incarnation. */
    boolean isUsable() {
        return registered && !sealed && timers.nowMillis() - lastReplyMillis < REPLY_TIMEOUT_MILLIS;
    }

    boolean isIdle() {
        return pendingIntents.isEmpty()
                && unconfirmedSettlements.isEmpty()
                && openIntents.isEmpty();
    }

    /** Registers the incarnation, or a new one if it is sealed and has no more intents. */
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

    private void seal(long newestIncarnation) {
        sealed = true;
        registered = false;
        sealedIncarnation = newestIncarnation;
        for (PendingIntent pending : Map.copyOf(pendingIntents).values()) {
            fail(pending, ResultCode.INSTANCE_SEALED);
        }
    }

    /**
     * Opens an intent; the draft lacks instance and incarnation. Calls back once unless abandoned.
     */
    void open(OpenIntent draft, Consumer<ResultCode> callback) {
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
        long timeoutMillis = draft.waitMillis() + 2 * RESEND_INTERVAL_MILLIS;
        Cancellable timeout = timers.schedule(timeoutMillis, () -> onTimeout(intent.intentId()));
        pendingIntents.put(intent.intentId(), new PendingIntent(intent, callback, timeout));
        transport.send(ledger, intent);
    }

    private void onTimeout(String intentId) {
        PendingIntent pending = pendingIntents.get(intentId);
        if (pending != null) {
            fail(pending, ResultCode.LEDGER_UNREACHABLE);
        }
    }

    /** Fails a pending intent; settles it with 0 tokens, since the ledger may have recorded it. */
    private void fail(PendingIntent pending, ResultCode code) {
        String intentId = pending.intent().intentId();
        pendingIntents.remove(intentId);
        pending.timeout().cancel();
        settle(intentId, 0);
        pending.callback().accept(code);
    }

    /** Releases an intent that is still being opened, without a callback. */
    void abandon(String intentId) {
        PendingIntent pending = pendingIntents.remove(intentId);
        if (pending != null) {
            pending.timeout().cancel();
            settle(intentId, 0);
        }
    }

    void handle(IntentAnswer reply) {
        lastReplyMillis = timers.nowMillis();
        PendingIntent pending = pendingIntents.remove(reply.intentId());
        if (pending == null) {
            // The call no longer waits for this intent; release the reservation.
            boolean late = reply.code() == ResultCode.OK && !openIntents.contains(reply.intentId());
            if (late && !unconfirmedSettlements.containsKey(reply.intentId())) {
                settle(reply.intentId(), 0);
            }
            return;
        }
        pending.timeout().cancel();
        if (reply.code() == ResultCode.OK) {
            openIntents.add(reply.intentId());
        }
        if (reply.code() == ResultCode.INSTANCE_SEALED) {
            seal(incarnation);
        }
        pending.callback().accept(reply.code());
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
        for (PendingIntent pending : pendingIntents.values()) {
            transport.send(ledger, pending.intent());
        }
        unconfirmedSettlements.forEach(
                (id, tokens) -> transport.send(ledger, new SettleIntent(id, tokens, instance)));
    }
}
