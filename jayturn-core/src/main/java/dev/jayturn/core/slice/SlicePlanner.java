package dev.jayturn.core.slice;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Splits budgets among the entry instances by demand. The pattern answered: all instances are cut
 * off at once for ten seconds while one customer sends several times its usual. So each instance
 * holds what would last it for long at its present rate, and only when the pool runs out is it
 * taken from those that would run dry last. What stands in slices is lost when the instances die,
 * so a slice is not larger than a cut needs; cut off, instances help each other out.
 */
public final class SlicePlanner {
    /** Time that a slice lasts at the present demand, in seconds. */
    private static final double HORIZON_SECONDS = 10;

    /** Weight of an idle holder against the mean demand. */
    private static final double IDLE_WEIGHT = 0.25;

    /** Share of a budget that stands in slices whatever the demand. */
    private static final double BASE_SHARE = 0.1;

    /** Time for which a mark lasts at the present demand: a lease and its renewal, in seconds. */
    private static final double MARK_SECONDS = 3.6;

    private static final double MARK_BELOW = 0.9;

    /** A holder gives back what goes beyond this multiple of what it is due. */
    private static final double KEEP_FACTOR = 1.6;

    private static final double REFILL_BELOW = 0.75;
    private static final double RECALL_ABOVE = 1.3;
    private static final double SHORT_BELOW = 0.5;

    private SlicePlanner() {}

    /** A live holder and what it last reported. */
    public record Holder(String id, Map<String, SliceStatus> statuses) {}

    /**
     * The next step.
     *
     * @param recalls tokens to be given back by holder and customer
     */
    public record Plan(List<SliceIssue> issues, Map<String, Map<String, Long>> recalls) {}

    /** Plans for every customer with a budget. */
    public static Plan plan(SliceTable table, List<Holder> holders) {
        Plan plan = new Plan(new ArrayList<>(), new HashMap<>());
        if (!holders.isEmpty()) {
            for (String customer : table.prepaid().keySet()) {
                planCustomer(table, customer, holders, plan);
            }
        }
        return plan;
    }

    /** Raises the marks of holders that have drawn most of what theirs allow. */
    public static List<SliceMark> marks(SliceTable table, List<Holder> holders) {
        List<SliceMark> marks = new ArrayList<>();
        for (Holder holder : holders) {
            holder.statuses()
                    .forEach(
                            (customer, status) -> {
                                double lead =
                                        Math.max(
                                                MARK_SECONDS * status.demand(),
                                                Math.max(status.typical(), status.shortage()));
                                long mark = table.totals(holder.id(), customer).mark();
                                if (mark < status.drawn() + MARK_BELOW * lead) {
                                    long raised = (long) (status.drawn() + lead);
                                    marks.add(new SliceMark(holder.id(), customer, raised));
                                }
                            });
        }
        return marks;
    }

    private static void recall(Plan plan, Holder holder, String customer, double tokens) {
        plan.recalls()
                .computeIfAbsent(holder.id(), h -> new HashMap<>())
                .merge(customer, (long) tokens, Math::max);
    }

    private static double typicalOf(Holder holder, String customer) {
        SliceStatus status = holder.statuses().get(customer);
        return status == null ? 0 : status.typical();
    }

    private static double demandOf(Holder holder, String customer) {
        SliceStatus status = holder.statuses().get(customer);
        return status == null ? 0 : status.demand();
    }

    private static void planCustomer(
            SliceTable table, String customer, List<Holder> holders, Plan plan) {
        int count = holders.size();
        double[] weights = new double[count];
        long[] available = new long[count];
        long[] shortage = new long[count];
        double demand = 0;
        long total = table.unissued(customer);
        for (int i = 0; i < count; i++) {
            SliceStatus status = holders.get(i).statuses().get(customer);
            long issued = table.totals(holders.get(i).id(), customer).issued();
            available[i] = issued;
            if (status != null) {
                available[i] += status.available() - status.issuedKnown();
                weights[i] = demandOf(holders.get(i), customer);
                shortage[i] = status.shortage();
                demand += status.demand();
            }
            total += Math.max(0, available[i]);
        }
        double idle = demand > 0 ? IDLE_WEIGHT * demand / count : 1;
        double sum = 0;
        for (int i = 0; i < count; i++) {
            weights[i] = Math.max(weights[i], idle);
            sum += weights[i];
        }
        boolean anyShort = false;
        long pool = table.unissued(customer);
        double base = BASE_SHARE * table.prepaid().getOrDefault(customer, 0L) / count;
        for (int i = 0; i < count; i++) {
            double ideal = total * weights[i] / sum;
            double lasting = Math.max(base, HORIZON_SECONDS * demandOf(holders.get(i), customer));
            long want = Math.max((long) Math.min(ideal, lasting), shortage[i]);
            boolean low = available[i] < REFILL_BELOW * want || shortage[i] > available[i];
            if (low && pool > 0) {
                long tokens = Math.min(pool, want - available[i]);
                pool -= tokens;
                available[i] += tokens;
                plan.issues().add(new SliceIssue(holders.get(i).id(), customer, tokens));
            }
            double most = KEEP_FACTOR * Math.max(want, typicalOf(holders.get(i), customer));
            if (available[i] > most && shortage[i] == 0) {
                recall(plan, holders.get(i), customer, available[i] - most);
            }
            anyShort |= available[i] < SHORT_BELOW * ideal || shortage[i] > available[i];
        }
        if (!anyShort || pool > total / 20) {
            return;
        }
        for (int i = 0; i < count; i++) {
            double ideal = total * weights[i] / sum;
            if (available[i] > RECALL_ABOVE * ideal && shortage[i] == 0) {
                recall(plan, holders.get(i), customer, available[i] - ideal);
            }
        }
    }
}
