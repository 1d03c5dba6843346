package dev.jayturn.core.admission;

import dev.jayturn.core.timer.TimerService;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Keeps the last part of a scarce room, such as the capacity of a link, for the requests that cost
 * callers most if they are turned away.
 *
 * <p>Answers a burst of cheap requests beside dear ones: admitted in the order of their arrival,
 * all kinds would be turned away alike once the room is used up. Here a request is admitted up to a
 * limit that is lower the more of the recent demand ranks before it, so that room remains for that
 * demand. If all requests rank alike, nothing is reserved.
 *
 * <p>No kind of request starves: one that recently got a much smaller part of its demand than all
 * requests together may use the whole room.
 */
public final class ReservedRoom {
    /** Demand older than this no longer counts. */
    private static final long WINDOW_MILLIS = 4_000;

    /** The demand is halved at this interval, which forgets it within the window. */
    private static final long DECAY_INTERVAL_MILLIS = 1_000;

    /** Share of its demand, relative to that of all requests, below which a kind is favoured. */
    private static final double MIN_RELATIVE_SHARE = 0.5;

    private static final double DECAY = 0.5;
    private static final double NEGLIGIBLE_WORK = 0.01;

    private final TimerService timers;
    private final double reserve;
    private final double[] demandByRank = new double[CostRank.RANKS];
    private final double[] requestsByPriority = new double[CostRank.RANKS];
    private final double[] workByPriority = new double[CostRank.RANKS];
    private final Map<String, Kind> kinds = new HashMap<>();
    private final Kind all = new Kind();
    private long decayedMillis;

    private static final class Kind {
        double demanded;
        double admitted;

        double share() {
            return demanded == 0 ? 1 : admitted / demanded;
        }

        void decay() {
            demanded *= DECAY;
            admitted *= DECAY;
        }
    }

    /**
     * Creates a room without demand.
     *
     * @param reserve largest share of the room that is kept from the cheapest requests, from 0 to
     *     1; 0 admits all alike
     */
    public ReservedRoom(TimerService timers, double reserve) {
        this.timers = timers;
        this.reserve = reserve;
        this.decayedMillis = timers.nowMillis();
    }

    /**
     * A request that asks for room.
     *
     * @param kind customer and route, or what else must not starve
     * @param priority 0 is the most urgent
     * @param meetsObjective whether the latency objective can still be met
     */
    public record Demand(String kind, int priority, boolean meetsObjective, long work) {}

    /**
     * Decides on a request, and counts its demand.
     *
     * @param usedShare share of the room that is in use
     * @param limit share up to which the request would be admitted if nothing were reserved
     */
    public boolean admits(Demand demand, double usedShare, double limit) {
        decay();
        int rank = rankOf(demand);
        boolean admitted = usedShare < limit - reserve * shareBefore(rank, demand.kind());
        count(demand, rank, admitted);
        return admitted;
    }

    private int rankOf(Demand demand) {
        int priority = CostRank.priorityOf(CostRank.of(demand.priority(), true, 0, 0));
        double requests = requestsByPriority[priority];
        double average = requests == 0 ? 0 : workByPriority[priority] / requests;
        return CostRank.of(demand.priority(), demand.meetsObjective(), demand.work(), average);
    }

    /** Returns the share of the recent demand that ranks before a request; 0 for a starved kind. */
    private double shareBefore(int rank, String kind) {
        Kind own = kinds.get(kind);
        if (all.demanded == 0 || (own != null && own.share() < MIN_RELATIVE_SHARE * all.share())) {
            return 0;
        }
        double before = 0;
        for (int i = 0; i < rank; i++) {
            before += demandByRank[i];
        }
        return before / all.demanded;
    }

    private void count(Demand demand, int rank, boolean admitted) {
        double work = Math.max(1, demand.work());
        int priority = CostRank.priorityOf(rank);
        demandByRank[rank] += work;
        requestsByPriority[priority]++;
        workByPriority[priority] += work;
        Kind kind = kinds.computeIfAbsent(demand.kind(), name -> new Kind());
        kind.demanded += work;
        all.demanded += work;
        if (admitted) {
            kind.admitted += work;
            all.admitted += work;
        }
    }

    private void decay() {
        long now = timers.nowMillis();
        if (now - decayedMillis > WINDOW_MILLIS) {
            clear();
            decayedMillis = now;
        }
        while (now - decayedMillis >= DECAY_INTERVAL_MILLIS) {
            decayedMillis += DECAY_INTERVAL_MILLIS;
            decayOnce();
        }
    }

    private void decayOnce() {
        all.decay();
        for (int i = 0; i < CostRank.RANKS; i++) {
            demandByRank[i] *= DECAY;
            requestsByPriority[i] *= DECAY;
            workByPriority[i] *= DECAY;
        }
        for (Iterator<Kind> it = kinds.values().iterator(); it.hasNext(); ) {
            Kind kind = it.next();
            kind.decay();
            if (kind.demanded < NEGLIGIBLE_WORK) {
                it.remove();
            }
        }
    }

    private void clear() {
        Arrays.fill(demandByRank, 0);
        Arrays.fill(requestsByPriority, 0);
        Arrays.fill(workByPriority, 0);
        kinds.clear();
        all.demanded = 0;
        all.admitted = 0;
    }
}
