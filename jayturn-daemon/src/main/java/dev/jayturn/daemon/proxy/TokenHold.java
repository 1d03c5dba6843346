package dev.jayturn.daemon.proxy;

import dev.jayturn.core.fleet.EntryInstance;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.slice.SliceAccounts;
import dev.jayturn.core.slice.SliceView;
import dev.jayturn.core.timer.Cancellable;
import dev.jayturn.core.timer.TimerService;
import org.jspecify.annotations.Nullable;

/** The tokens held for one request, from the slice of this instance. */
final class TokenHold {
    /** How long a request waits for tokens from the leader, in milliseconds. */
    private static final long LEADER_WAIT_MILLIS = 300;

    /** How long a request waits for the first slices of a life, in milliseconds. */
    private static final long START_WAIT_MILLIS = 1_200;

    /** How long it then waits for tokens that other instances hold, in milliseconds. */
    private static final long PEER_WAIT_MILLIS = 200;

    /** Budget figures older than this do not prove that a budget is spent. */
    private static final long LEFT_AGE_MILLIS = 1_500;

    private final TimerService timers;
    private final TokenWaiters waiters;
    private final EntryInstance fleet;
    private final String customer;
    private final long tokens;
    private final Outcome outcome;
    private SliceAccounts.@Nullable Reservation reservation;
    private @Nullable Cancellable wait;
    private boolean starting;
    private boolean over;

    /** Told once whether the tokens could be had. */
    interface Outcome {
        void held();

        void refused(ResultCode code);
    }

    TokenHold(
            TimerService timers,
            TokenWaiters waiters,
            EntryInstance fleet,
            String customer,
            long tokens,
            Outcome outcome) {
        this.timers = timers;
        this.waiters = waiters;
        this.fleet = fleet;
        this.customer = customer;
        this.tokens = tokens;
        this.outcome = outcome;
    }

    /** Takes the tokens; if they are short, asks for more and waits while anybody may have some. */
    void take() {
        if (tryReserve()) {
            return;
        }
        starting = fleet.isStarting();
        boolean mayHelp = fleet.requestTokens(customer, tokens);
        if (isSpent() || !mayHelp) {
            refuse();
            return;
        }
        if (reservation == null) {
            long millis = starting ? START_WAIT_MILLIS : LEADER_WAIT_MILLIS;
            wait = timers.schedule(millis, this::askPeers);
            waiters.add(this::retry);
        }
    }

    private void askPeers() {
        fleet.requestPeerTokens(customer, tokens);
        if (over || reservation != null) {
            // Asking found tokens at once.
            return;
        }
        wait = timers.schedule(PEER_WAIT_MILLIS, this::refuse);
    }

    private boolean tryReserve() {
        if (!fleet.slices().canReserve(customer, tokens)) {
            return false;
        }
        reservation = fleet.slices().reserve(customer, tokens);
        outcome.held();
        return true;
    }

    private void retry() {
        if (over || reservation != null) {
            return;
        }
        if (tryReserve()) {
            cancelWait();
        } else if (isSpent()) {
            refuse();
        } else {
            waiters.add(this::retry);
            askAfterStart();
        }
    }

    /** Asks as usual once the first slices have come and were too small. */
    private void askAfterStart() {
        if (starting && !fleet.isStarting()) {
            starting = false;
            cancelWait();
            wait = timers.schedule(LEADER_WAIT_MILLIS, this::askPeers);
            fleet.requestTokens(customer, tokens);
        }
    }

    private boolean isSpent() {
        long since = timers.nowMillis() - LEFT_AGE_MILLIS;
        return fleet.isLeaderReachable()
                && fleet.slices().isKnownExhausted(customer, tokens, since);
    }

    private void refuse() {
        if (!over && reservation == null) {
            over = true;
            cancelWait();
            fleet.slices().recordUnmetDemand(customer, tokens);
            outcome.refused(isSpent() ? ResultCode.BUDGET_SPENT : ResultCode.BUDGET_ELSEWHERE);
        }
    }

    /** Ends the hold; what was not spent is free again. */
    void settle(long spent) {
        over = true;
        cancelWait();
        SliceAccounts.Reservation held = reservation;
        if (held != null) {
            fleet.slices().settle(held, spent);
        }
    }

    /** Returns what the decision rested on, for the log. */
    SliceView view() {
        return fleet.slices().view(customer);
    }

    long tokens() {
        return tokens;
    }

    boolean isInTouch() {
        return fleet.isLeaderReachable();
    }

    private void cancelWait() {
        Cancellable waiting = wait;
        if (waiting != null) {
            waiting.cancel();
        }
    }
}
