package dev.jayturn.daemon.proxy;

import dev.jayturn.core.fleet.EntryInstance;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.slice.SliceAccounts;
import dev.jayturn.core.slice.SliceView;
import dev.jayturn.core.timer.Cancellable;
import dev.jayturn.core.timer.TimerService;
import org.jspecify.annotations.Nullable;

/** The tokens held for one request, from the slice of this instance. */
final class TokenReservation {
    /** How long a request waits for tokens from the leader, in milliseconds. */
    private static final long LEADER_WAIT_MILLIS = 300;

    /** How long a request waits for the first slices of a life, in milliseconds. */
    private static final long FIRST_SLICES_WAIT_MILLIS = 1_200;

    /** How long it then waits for tokens that other instances hold, in milliseconds. */
    private static final long PEER_WAIT_MILLIS = 200;

    /** Budget figures older than this do not prove that a budget is spent. */
    private static final long MAX_BUDGET_AGE_MILLIS = 1_500;

    private final TimerService timers;
    private final TokenWaitQueue waitQueue;
    private final EntryInstance entryInstance;
    private final String customer;
    private final long tokens;
    private final Callback callback;
    private SliceAccounts.@Nullable Reservation sliceReservation;
    private @Nullable Cancellable waitTimer;
    private boolean waitingForFirstSlices;
    private boolean ended;

    /** Told once whether the tokens could be had. */
    interface Callback {
        void onReserved();

        void onRefused(ResultCode code);
    }

    TokenReservation(
            TimerService timers,
            TokenWaitQueue waiters,
            EntryInstance fleet,
            String customer,
            long tokens,
            Callback outcome) {
        this.timers = timers;
        this.waitQueue = waiters;
        this.entryInstance = fleet;
        this.customer = customer;
        this.tokens = tokens;
        this.callback = outcome;
    }

    /** Takes the tokens; if they are short, asks for more and waits while anybody may have some. */
    void reserve() {
        if (tryReserve()) {
            return;
        }
        waitingForFirstSlices = entryInstance.isStarting();
        boolean mayHelp = entryInstance.requestTokens(customer, tokens);
        if (isBudgetExhausted() || !mayHelp) {
            refuse();
            return;
        }
        if (sliceReservation == null) {
            long millis = waitingForFirstSlices ? FIRST_SLICES_WAIT_MILLIS : LEADER_WAIT_MILLIS;
            waitTimer = timers.schedule(millis, this::requestPeerTokens);
            waitQueue.add(this::retry);
        }
    }

    private void requestPeerTokens() {
        entryInstance.requestPeerTokens(customer, tokens);
        if (ended || sliceReservation != null) {
            // Asking found tokens at once.
            return;
        }
        waitTimer = timers.schedule(PEER_WAIT_MILLIS, this::refuse);
    }

    private boolean tryReserve() {
        if (!entryInstance.slices().canReserve(customer, tokens)) {
            return false;
        }
        sliceReservation = entryInstance.slices().reserve(customer, tokens);
        callback.onReserved();
        return true;
    }

    private void retry() {
        if (ended || sliceReservation != null) {
            return;
        }
        if (tryReserve()) {
            cancelWait();
        } else if (isBudgetExhausted()) {
            refuse();
        } else {
            waitQueue.add(this::retry);
            requestTokensAfterStart();
        }
    }

    /** Asks as usual once the first slices have come and were too small. */
    private void requestTokensAfterStart() {
        if (waitingForFirstSlices && !entryInstance.isStarting()) {
            waitingForFirstSlices = false;
            cancelWait();
            waitTimer = timers.schedule(LEADER_WAIT_MILLIS, this::requestPeerTokens);
            entryInstance.requestTokens(customer, tokens);
        }
    }

    private boolean isBudgetExhausted() {
        long since = timers.nowMillis() - MAX_BUDGET_AGE_MILLIS;
        return entryInstance.isLeaderReachable()
                && entryInstance.slices().isKnownExhausted(customer, tokens, since);
    }

    private void refuse() {
        if (!ended && sliceReservation == null) {
            ended = true;
            cancelWait();
            entryInstance.slices().recordUnmetDemand(customer, tokens);
            callback.onRefused(
                    isBudgetExhausted() ? ResultCode.BUDGET_SPENT : ResultCode.BUDGET_ELSEWHERE);
        }
    }

    /** Ends the hold; what was not spent is free again. */
    void settle(long spent) {
        ended = true;
        cancelWait();
        SliceAccounts.Reservation held = sliceReservation;
        if (held != null) {
            entryInstance.slices().settle(held, spent);
        }
    }

    /** Returns what the decision rested on, for the log. */
    SliceView sliceView() {
        return entryInstance.slices().view(customer);
    }

    long tokens() {
        return tokens;
    }

    boolean isLeaderReachable() {
        return entryInstance.isLeaderReachable();
    }

    private void cancelWait() {
        Cancellable waiting = waitTimer;
        if (waiting != null) {
            waiting.cancel();
        }
    }
}
