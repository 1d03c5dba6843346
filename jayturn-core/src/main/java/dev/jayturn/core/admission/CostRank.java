package dev.jayturn.core.admission;

/**
 * Ranks requests by what it costs callers if they wait or are turned away. A lower rank costs more.
 *
 * <p>The priority of the customer and the route decides first, since operators state it. Among
 * requests of one priority, those that can still meet their latency objective go before those that
 * cannot, and then those that need less work, because more callers are served with the same room.
 */
public final class CostRank {
    /** Larger priority numbers are ranked alike. */
    private static final int MAX_PRIORITY = 31;

    /** Sizes of work that are told apart: up to a half, one, two and more times the average. */
    private static final int WORK_CLASSES = 4;

    private static final int AVERAGE_CLASS = 1;
    private static final int RANKS_OF_A_PRIORITY = 2 * WORK_CLASSES;
    private static final double SMALLEST_CLASS_FACTOR = 0.5;

    /** Number of different ranks. */
    public static final int RANKS = (MAX_PRIORITY + 1) * RANKS_OF_A_PRIORITY;

    private CostRank() {}

    /**
     * Returns the rank of a request, from 0 to {@link #RANKS} - 1.
     *
     * @param priority 0 is the most urgent
     * @param meetsObjective whether the latency objective can still be met
     * @param averageWork average work of the requests of this priority; 0 if not known
     */
    public static int of(int priority, boolean meetsObjective, long work, double averageWork) {
        int bounded = Math.max(0, Math.min(MAX_PRIORITY, priority));
        int lateness = meetsObjective ? 0 : WORK_CLASSES;
        return bounded * RANKS_OF_A_PRIORITY + lateness + workClass(work, averageWork);
    }

    /** Returns the priority that a rank was made of. */
    static int priorityOf(int rank) {
        return rank / RANKS_OF_A_PRIORITY;
    }

    private static int workClass(long work, double averageWork) {
        if (averageWork <= 0) {
            return AVERAGE_CLASS;
        }
        int workClass = 0;
        for (double limit = SMALLEST_CLASS_FACTOR * averageWork;
                work > limit && workClass < WORK_CLASSES - 1;
                limit *= 2) {
            workClass++;
        }
        return workClass;
    }
}
