package dev.jayturn.daemon.head;

import dev.jayturn.core.limits.HeadBudget;

/** The memory that the heads of requests occupy, of all that one event loop decodes. */
public final class HeadMemory {
    /** Time after which a caller that was refused may find memory. */
    public static final long RETRY_AFTER_MILLIS = 1_000;

    private final HeadBudget budget;
    private final Listener listener;

    /** Learns of the requests that are refused. */
    public interface Listener {
        /**
         * Called when a request is refused because of its head.
         *
         * @param part name of the address that it came to
         * @param occupiedBytes what its head occupied
         * @param chargedBytes what is left of all heads that are charged
         */
        void onRefused(String part, long occupiedBytes, long chargedBytes);
    }

    /**
     * Creates a memory of which nothing is occupied.
     *
     * @param capacityBytes bound on what all heads occupy, except small ones
     */
    public HeadMemory(long capacityBytes, Listener listener) {
        this.budget = new HeadBudget(capacityBytes);
        this.listener = listener;
    }

    HeadBudget budget() {
        return budget;
    }

    /** Returns what the heads that are charged occupy. */
    public long chargedBytes() {
        return budget.chargedBytes();
    }

    /** Called when a request is refused whose head occupied a number of bytes. */
    void onRefused(String part, long occupiedBytes) {
        listener.onRefused(part, occupiedBytes, budget.chargedBytes());
    }
}
