package dev.jayturn.daemon.proxy;

import dev.jayturn.core.configuration.Engine;
import dev.jayturn.core.configuration.Service;
import dev.jayturn.core.dispatch.RequestProfile;
import dev.jayturn.core.fleet.EntryInstance;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.slice.SliceAccounts;
import dev.jayturn.core.slice.SliceView;
import dev.jayturn.core.timer.Cancellable;
import dev.jayturn.core.timer.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Reserves the tokens for one request in the slice of this instance, waiting if they are short. For
 * slices and incarnations see {@link SliceAccounts}.
 */
final class TokenReservation {
    /** Maximum time that a request waits for tokens from the leader. */
    private static final long LEADER_WAIT_MILLIS = 300;

    /** Maximum time that a request waits for the first slices of this incarnation. */
    private static final long FIRST_SLICES_WAIT_MILLIS = 1_200;

    /** Maximum additional time that a request waits for tokens of other instances. */
    private static final long PEER_WAIT_MILLIS = 200;

    /** Maximum age of a report from the leader that proves that a budget is exhausted. */
    private static final long MAX_BUDGET_AGE_MILLIS = 1_500;

    private final TimerService timers;
    private final RetryQueue waitQueue;
    private final EntryInstance entryInstance;
    private final String customer;
    private final long tokens;
    private final int rank;
    private final Callback callback;
    private final Runnable retry = this::retry;
    private SliceAccounts.@Nullable Reservation sliceReservation;
    private @Nullable Cancellable waitTimer;
    private boolean waitingForFirstSlices;
    private boolean ended;

    /** Called once, when the tokens have been reserved or refused. */
    interface Callback {
        void onReserved();

        void onRefused(ResultCode code);
    }

    /**
     * Creates a reservation that has not begun.
     *
     * @param rank position among the requests that wait for tokens
     */
    TokenReservation(
            TimerService timers,
            RetryQueue waitQueue,
            EntryInstance entryInstance,
            String customer,
            long tokens,
            int rank,
            Callback callback) {
        this.timers = timers;
        this.waitQueue = waitQueue;
        this.entryInstance = entryInstance;
        this.customer = customer;
        this.tokens = tokens;
        this.rank = rank;
        this.callback = callback;
    }

    /**
     * Reserves the tokens. If they are short, requests more from the leader and from other
     * instances, and waits as long as any of them may still provide some.
     */
    void reserve() {
        if (tryReserve()) {
            return;
        }
        waitingForFirstSlices = entryInstance.isStarting();
        boolean mayArrive = entryInstance.requestTokens(customer, tokens);
        if (isBudgetExhausted() || !mayArrive) {
            refuse();
            return;
        }
        if (sliceReservation == null) {
            long waitMillis = waitingForFirstSlices ? FIRST_SLICES_WAIT_MILLIS : LEADER_WAIT_MILLIS;
            waitTimer = timers.schedule(waitMillis, this::requestPeerTokens);
            waitQueue.add(retry, rank);
        }
    }

    private void requestPeerTokens() {
        entryInstance.requestPeerTokens(customer, tokens);
        if (ended || sliceReservation != null) {
            // The request for tokens has already completed or ended this reservation.
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
            waitQueue.add(retry, rank);
            requestTokensAfterStart();
        }
    }

    /** Requests tokens as usual if the first slices have arrived and are too small. */
    private void requestTokensAfterStart() {
        if (waitingForFirstSlices && !entryInstance.isStarting()) {
            waitingForFirstSlices = false;
            cancelWait();
            waitTimer = timers.schedule(LEADER_WAIT_MILLIS, this::requestPeerTokens);
            entryInstance.requestTokens(customer, tokens);
        }
    }

    private boolean isBudgetExhausted() {
        long sinceMillis = timers.nowMillis() - MAX_BUDGET_AGE_MILLIS;
        return entryInstance.isLeaderReachable()
                && entryInstance.slices().isKnownExhausted(customer, tokens, sinceMillis);
    }

    private void refuse() {
        if (!ended && sliceReservation == null) {
            ended = true;
            cancelWait();
            waitQueue.remove(retry);
            entryInstance.slices().recordUnmetDemand(customer, tokens);
            callback.onRefused(
                    isBudgetExhausted() ? ResultCode.BUDGET_SPENT : ResultCode.BUDGET_ELSEWHERE);
        }
    }

    /** Ends the reservation and releases the tokens that were not spent. */
    void settle(long spent) {
        ended = true;
        cancelWait();
        waitQueue.remove(retry);
        SliceAccounts.Reservation reserved = sliceReservation;
        if (reserved != null) {
            entryInstance.slices().settle(reserved, spent);
        }
    }

    /** Ends the reservation of a request of which this number of events may have been delivered. */
    void settle(RequestProfile profile, @Nullable Service service, long eventCount) {
        Engine engine = service == null ? null : service.engine();
        long maxOutput = engine == null ? 0 : eventCount * engine.maxTokensPerEvent();
        settle(profile.maxDeliveredTokens(maxOutput));
    }

    /** Returns the state of the slice on which the decision is based, for the log. */
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
        Cancellable timer = waitTimer;
        if (timer != null) {
            timer.cancel();
        }
    }
}
