package dev.jayturn.core.limits;

import dev.jayturn.core.timer.Cancellable;
import dev.jayturn.core.timer.TimerService;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Grants long claims in the order of their arrival, and keeps a part of the memory for short ones.
 *
 * <p>The load balancer sends all connections of a caller to one instance. If many callers post long
 * bodies there at the same moment, each of them needs memory before any of them can be forwarded. A
 * long body is claimed as a whole before it is read, so bodies that have memory can always be
 * completed, and those that have none wait unread. A claim whose turn would come too late is
 * rejected at once, because its caller may find memory at another instance. Bodies of ordinary
 * requests never wait behind long ones.
 *
 * <p>Callers may also begin many short bodies and stop. If these fill the memory, the short body
 * that has been received for the longest time gives way to a new one. An ordinary caller sends such
 * a body at once.
 */
public final class SharedMemoryBudget implements MemoryBudget {
    /** Share of the memory that long claims leave to short ones. */
    private static final double SHORT_SHARE = 0.25;

    private static final int MAX_WAITING_CLAIMS = 64;

    /** Assumed time from the grant of a long claim to its release until one was released. */
    private static final double INITIAL_HOLD_MILLIS = 300;

    /** Weight of the newest claim in the moving average of the times that claims are held. */
    private static final double HOLD_WEIGHT = 0.25;

    private static final long MIN_RETRY_AFTER_MILLIS = 50;
    private static final long MAX_RETRY_AFTER_MILLIS = 1_000;

    private final TimerService timers;
    private final long capacityBytes;
    private final long longCapacityBytes;
    private final Set<SharedClaim> heldLongClaims = new LinkedHashSet<>();
    private final Deque<SharedClaim> waitingClaims = new ArrayDeque<>();

    /** Claims of short bodies that have not been received in full, in the order of the grants. */
    private final Set<SharedClaim> incompleteShortClaims = new LinkedHashSet<>();

    private double holdMillis = INITIAL_HOLD_MILLIS;
    private long claimedBytes;
    private long waitingBytes;

    /**
     * Creates a budget of which nothing is claimed.
     *
     * @param capacityBytes bound on the sum of all claims
     */
    public SharedMemoryBudget(TimerService timers, long capacityBytes) {
        this.timers = timers;
        this.capacityBytes = capacityBytes;
        this.longCapacityBytes = capacityBytes - (long) (capacityBytes * SHORT_SHARE);
    }

    private enum State {
        WAITING,
        GRANTED,
        ENDED
    }

    private final class SharedClaim implements Claim {
        private final Callback callback;
        private long bytes;
        private State state = State.WAITING;
        private long grantedMillis;
        private @Nullable Cancellable timeout;

        SharedClaim(long bytes, Callback callback) {
            this.bytes = bytes;
            this.callback = callback;
        }

        private void grant() {
            state = State.GRANTED;
            claimedBytes += bytes;
            if (bytes > SHORT_CLAIM_BYTES) {
                grantedMillis = timers.nowMillis();
                heldLongClaims.add(this);
            } else if (bytes > 0) {
                incompleteShortClaims.add(this);
            }
            callback.onGranted();
        }

        private void startWaiting(long maxWaitMillis) {
            waitingClaims.add(this);
            waitingBytes += bytes;
            timeout = timers.schedule(maxWaitMillis, this::onTimeout);
        }

        private void stopWaiting() {
            waitingClaims.remove(this);
            waitingBytes -= bytes;
            Cancellable timer = timeout;
            if (timer != null) {
                timer.cancel();
            }
        }

        private void onTimeout() {
            if (state == State.WAITING) {
                stopWaiting();
                reject();
                // A smaller claim may have waited behind this one.
                grantWaiting();
            }
        }

        private void reject() {
            state = State.ENDED;
            callback.onRejected(retryAfterMillis(bytes));
        }

        /** Takes the memory back, of which the callback learns. */
        private void withdraw() {
            state = State.ENDED;
            claimedBytes -= bytes;
            callback.onRejected(MIN_RETRY_AFTER_MILLIS);
        }

        @Override
        public void complete() {
            incompleteShortClaims.remove(this);
        }

        @Override
        public void shrinkTo(long newBytes) {
            if (state == State.GRANTED && newBytes < bytes) {
                claimedBytes -= bytes - newBytes;
                bytes = newBytes;
                if (newBytes <= SHORT_CLAIM_BYTES) {
                    heldLongClaims.remove(this);
                }
                grantWaiting();
            }
        }

        @Override
        public void release() {
            State before = state;
            state = State.ENDED;
            if (before == State.WAITING) {
                stopWaiting();
            } else if (before == State.GRANTED) {
                claimedBytes -= bytes;
                incompleteShortClaims.remove(this);
                if (heldLongClaims.remove(this)) {
                    long heldMillis = timers.nowMillis() - grantedMillis;
                    holdMillis += HOLD_WEIGHT * (heldMillis - holdMillis);
                }
            }
            grantWaiting();
        }
    }

    @Override
    public Claim claim(long bytes, long maxWaitMillis, Callback callback) {
        SharedClaim claim = new SharedClaim(bytes, callback);
        boolean isShort = bytes <= SHORT_CLAIM_BYTES;
        if (isShort ? makeRoom(bytes) : canGrantLong(claim)) {
            claim.grant();
        } else if (isShort
                || bytes > longCapacityBytes
                || waitingClaims.size() >= MAX_WAITING_CLAIMS
                || expectedWaitMillis(bytes) > maxWaitMillis) {
            claim.reject();
        } else {
            claim.startWaiting(maxWaitMillis);
        }
        return claim;
    }

    /** Returns whether there is memory for a short claim, for which others may be withdrawn. */
    private boolean makeRoom(long bytes) {
        if (claimedBytes + bytes <= capacityBytes) {
            return true;
        }
        long withdrawableBytes = 0;
        for (SharedClaim claim : incompleteShortClaims) {
            withdrawableBytes += claim.bytes;
        }
        if (claimedBytes - withdrawableBytes + bytes > capacityBytes) {
            return false;
        }
        while (claimedBytes + bytes > capacityBytes && !incompleteShortClaims.isEmpty()) {
            SharedClaim oldest = incompleteShortClaims.iterator().next();
            incompleteShortClaims.remove(oldest);
            oldest.withdraw();
        }
        return claimedBytes + bytes <= capacityBytes;
    }

    private boolean canGrantLong(SharedClaim claim) {
        boolean isNext = waitingClaims.isEmpty() || waitingClaims.peek() == claim;
        return isNext && claimedBytes + claim.bytes <= longCapacityBytes;
    }

    private void grantWaiting() {
        SharedClaim next = waitingClaims.peek();
        while (next != null && canGrantLong(next)) {
            next.stopWaiting();
            next.grant();
            next = waitingClaims.peek();
        }
    }

    /**
     * Returns the time until a claim behind those that wait can be granted, if claims go on to be
     * held for as long as the latest ones, or for as long as the oldest one is held already.
     */
    private long expectedWaitMillis(long bytes) {
        double millis = holdMillis;
        if (!heldLongClaims.isEmpty()) {
            SharedClaim oldest = heldLongClaims.iterator().next();
            millis = Math.max(millis, timers.nowMillis() - oldest.grantedMillis);
        }
        long usableBytes = Math.max(1, longCapacityBytes / bytes) * bytes;
        long missingBytes = claimedBytes + waitingBytes + bytes - usableBytes;
        return (long) Math.ceil(millis * missingBytes / usableBytes);
    }

    private long retryAfterMillis(long bytes) {
        long millis = expectedWaitMillis(bytes);
        return Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, millis));
    }

    @Override
    public long largestClaimBytes() {
        return longCapacityBytes;
    }

    @Override
    public long claimedBytes() {
        return claimedBytes;
    }

    @Override
    public int waitingClaims() {
        return waitingClaims.size();
    }
}
