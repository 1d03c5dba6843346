package dev.jayturn.core.limits;

/** Divides a bounded amount of memory among the bodies that are received at the same time. */
public interface MemoryBudget {
    /** Largest claim, in bytes, that is granted or rejected without a wait. */
    int SHORT_CLAIM_BYTES = 64 * 1_024;

    /** Receives the decision on a claim. */
    interface Callback {
        /** The memory may be used until the claim is released. */
        void onGranted();

        /**
         * There will be no memory in time, or others get that of a short body, which was granted
         * and has not been received in full.
         *
         * @param retryAfterMillis time after which there probably is
         */
        void onRejected(long retryAfterMillis);
    }

    /** A part of the memory. */
    interface Claim {
        /** Keeps the memory until it is released; called when the body has been received. */
        void complete();

        /** Gives back what lies beyond a number of bytes. */
        void shrinkTo(long bytes);

        /** Gives all of it back; withdraws the claim if it is still waiting. */
        void release();
    }

    /**
     * Claims memory. The decision may come before this method returns.
     *
     * @param bytes at most {@link #largestClaimBytes}
     * @param maxWaitMillis time after which the claim is rejected
     */
    Claim claim(long bytes, long maxWaitMillis, Callback callback);

    /** Returns the largest claim that can be granted. */
    long largestClaimBytes();

    /** Returns the number of bytes of the claims that were granted and not yet released. */
    long claimedBytes();

    /** Returns the number of claims that wait. */
    int waitingClaims();
}
