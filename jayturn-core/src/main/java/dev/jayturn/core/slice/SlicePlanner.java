package dev.jayturn.core.slice;

import dev.jayturn.core.transport.Addresses;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Divides budgets among the data centres by demand. The division is designed for two faults: a
 * partition of about ten seconds between all entry instances and the control instances, and a crash
 * of all entry instances at any time. Each data centre therefore holds the tokens that it needs for
 * such a partition at its current rate. The rest stays unissued; when the unissued tokens run low,
 * tokens are recalled from the data centres that hold the most in relation to their demand. Marks
 * are kept close to the drawn tokens, because the tokens between the drawn total and the mark are
 * lost when a holder crashes.
 */
public final class SlicePlanner {
    /** Time for which a data centre's tokens should last at the current demand, in seconds. */
    private static final double HORIZON_SECONDS = 10;

    /** Minimum weight of a data centre, as a fraction of the mean demand of the data centres. */
    private static final double IDLE_DEMAND_SHARE = 0.25;

    /**
     * Fraction of a budget that is divided equally among the data centres to give the minimum of
     * the limit that demand sets to their targets. The targets remain limited to the proportional
     * shares.
     */
    private static final double BASE_SHARE = 0.5;

    /**
     * Time for which the headroom of a mark, the tokens between the drawn total and the mark, lasts
     * at the current rate, in seconds: a lease and its renewal.
     */
    private static final double MARK_HEADROOM_SECONDS = 3.6;

    /**
     * A mark is raised when less than this fraction of its headroom is left, or less than a request
     * lacked.
     */
    private static final double RAISE_MARK_BELOW = 0.9;

    /** Tokens in excess of this multiple of a data centre's target are recalled. */
    private static final double RECALL_ABOVE_TARGET = 1.6;

    /** A data centre is issued tokens when it has less than this fraction of its target. */
    private static final double REFILL_BELOW_TARGET = 0.75;

    /**
     * Tokens are recalled from a data centre with more than this multiple of its proportional share
     * when another one runs short.
     */
    private static final double RECALL_ABOVE_SHARE = 1.3;

    /**
     * No tokens are moved between data centres while the unissued tokens exceed the sum of the
     * unissued and free tokens divided by this number.
     */
    private static final int REBALANCE_UNISSUED_DIVISOR = 20;

    /** A data centre with less than this fraction of its proportional share runs short. */
    private static final double SHORT_BELOW_SHARE = 0.5;

    private SlicePlanner() {}

    /** A live holder and the slices that it last reported. */
    public record Holder(String id, String dataCentre, Map<String, SliceStatus> statusByCustomer) {}

    /** The holders of a data centre and their combined reports on one customer's budget. */
    private static final class DataCentreGroup {
        final List<Holder> holders = new ArrayList<>();
        double weight;
        double demandPerSecond;
        double averageRequestTokens;
        long free;
        long largestShortage;

        Holder homeHolder(String customer) {
            Map<String, Holder> byAddress = new HashMap<>();
            for (Holder holder : holders) {
                byAddress.put(Addresses.instanceOf(holder.id()), holder);
            }
            Holder homeHolder = byAddress.get(HomeInstance.of(customer, byAddress.keySet()));
            return homeHolder == null ? holders.get(0) : homeHolder;
        }
    }

    /**
     * The issues and recalls of one planning step.
     *
     * @param recallsByHolder tokens to be returned, by holder and customer
     */
    public record Plan(List<SliceIssue> issues, Map<String, Map<String, Long>> recallsByHolder) {}

    /** Plans issues and recalls for every customer with a budget. */
    public static Plan plan(SliceTable table, List<Holder> holders) {
        Plan plan = new Plan(new ArrayList<>(), new HashMap<>());
        if (!holders.isEmpty()) {
            table.prepaid()
                    .forEach(
                            (customer, tokens) ->
                                    planCustomer(table, customer, tokens, holders, plan));
        }
        return plan;
    }

    /**
     * Plans the issues for budgets that are about to grow, the first budget of a customer included.
     *
     * @param prepaid prepaid tokens of all customers after the change
     */
    public static List<SliceIssue> planGrowth(
            SliceTable table, Map<String, Long> prepaid, List<Holder> holders) {
        Plan plan = new Plan(new ArrayList<>(), new HashMap<>());
        if (!holders.isEmpty()) {
            prepaid.forEach(
                    (customer, tokens) -> {
                        if (tokens > table.prepaid().getOrDefault(customer, 0L)) {
                            planCustomer(table, customer, tokens, holders, plan);
                        }
                    });
        }
        return plan.issues();
    }

    /** Plans higher marks for the holders that have drawn most of what their marks allow. */
    public static List<SliceMark> planMarks(SliceTable table, List<Holder> holders) {
        List<SliceMark> marks = new ArrayList<>();
        for (Holder holder : holders) {
            holder.statusByCustomer()
                    .forEach(
                            (customer, status) -> {
                                double headroom =
                                        Math.max(
                                                MARK_HEADROOM_SECONDS * status.drawnPerSecond(),
                                                Math.max(
                                                        status.averageRequestTokens(),
                                                        status.largestShortage()));
                                long mark = table.totals(holder.id(), customer).mark();
                                double needed =
                                        Math.max(
                                                RAISE_MARK_BELOW * headroom,
                                                status.largestShortage());
                                if (mark < status.drawn() + needed) {
                                    long raised = (long) (status.drawn() + headroom);
                                    marks.add(new SliceMark(holder.id(), customer, raised));
                                }
                            });
        }
        return marks;
    }

    private static List<DataCentreGroup> groupByDataCentre(
            SliceTable table, String customer, List<Holder> holders) {
        Map<String, DataCentreGroup> groups = new TreeMap<>();
        for (Holder holder : holders) {
            DataCentreGroup group =
                    groups.computeIfAbsent(holder.dataCentre(), d -> new DataCentreGroup());
            group.holders.add(holder);
            SliceStatus status = holder.statusByCustomer().get(customer);
            // Includes the tokens issued since the holder's report.
            long free = table.totals(holder.id(), customer).issued();
            if (status != null) {
                free += status.free() - status.knownIssuedTotal();
                group.demandPerSecond += status.demandPerSecond();
                group.averageRequestTokens =
                        Math.max(group.averageRequestTokens, status.averageRequestTokens());
                group.largestShortage = Math.max(group.largestShortage, status.largestShortage());
            }
            group.free += free;
        }
        return new ArrayList<>(groups.values());
    }

    /**
     * Plans issues and recalls for one customer. The proportional share of a data centre is its
     * part, by weight, of the tokens that were unissued or free at the start of the step. Its
     * target, the number of free tokens that it should have, is
     *
     * <pre>
     * max(min(proportional share, max(base tokens, horizon * demand)), largest shortage)
     * </pre>
     *
     * where the weight is the demand but at least {@link #IDLE_DEMAND_SHARE} of the mean demand,
     * and the base tokens are {@link #BASE_SHARE} of the budget divided by the number of data
     * centres.
     */
    private static void planCustomer(
            SliceTable table, String customer, long prepaid, List<Holder> holders, Plan plan) {
        List<DataCentreGroup> groups = groupByDataCentre(table, customer, holders);
        long unissued = table.unissuedOf(customer, prepaid);
        long total = unissued;
        double demandPerSecond = 0;
        for (DataCentreGroup group : groups) {
            total += Math.max(0, group.free);
            demandPerSecond += group.demandPerSecond;
        }
        double minWeight =
                demandPerSecond > 0 ? IDLE_DEMAND_SHARE * demandPerSecond / groups.size() : 1;
        double weightSum = 0;
        for (DataCentreGroup group : groups) {
            group.weight = Math.max(group.demandPerSecond, minWeight);
            weightSum += group.weight;
        }
        double baseTokens = BASE_SHARE * prepaid / groups.size();
        boolean anyShort = false;
        for (DataCentreGroup group : groups) {
            double proportionalShare = total * group.weight / weightSum;
            double horizonTokens = Math.max(baseTokens, HORIZON_SECONDS * group.demandPerSecond);
            long target =
                    Math.max(
                            (long) Math.min(proportionalShare, horizonTokens),
                            group.largestShortage);
            boolean needsRefill =
                    group.free < REFILL_BELOW_TARGET * target || group.largestShortage > group.free;
            Holder homeHolder = group.homeHolder(customer);
            if (needsRefill && unissued > 0) {
                long tokens = Math.min(unissued, target - group.free);
                unissued -= tokens;
                group.free += tokens;
                plan.issues().add(new SliceIssue(homeHolder.id(), customer, tokens));
            }
            double recallLimit = RECALL_ABOVE_TARGET * Math.max(target, group.averageRequestTokens);
            if (group.free > recallLimit && group.largestShortage == 0) {
                recall(plan, group, customer, group.free - recallLimit);
            }
            anyShort |=
                    group.free < SHORT_BELOW_SHARE * proportionalShare
                            || group.largestShortage > group.free;
        }
        if (!anyShort || unissued > total / REBALANCE_UNISSUED_DIVISOR) {
            return;
        }
        for (DataCentreGroup group : groups) {
            double proportionalShare = total * group.weight / weightSum;
            if (group.free > RECALL_ABOVE_SHARE * proportionalShare && group.largestShortage == 0) {
                recall(plan, group, customer, group.free - proportionalShare);
            }
        }
    }

    /**
     * Recalls tokens from one holder of a data centre: the one that reported the most free tokens,
     * or the home holder if none reported any status for the customer.
     */
    private static void recall(Plan plan, DataCentreGroup group, String customer, double tokens) {
        Holder largestHolder = group.homeHolder(customer);
        long mostFree = Long.MIN_VALUE;
        for (Holder holder : group.holders) {
            SliceStatus status = holder.statusByCustomer().get(customer);
            if (status != null && status.free() > mostFree) {
                mostFree = status.free();
                largestHolder = holder;
            }
        }
        plan.recallsByHolder()
                .computeIfAbsent(largestHolder.id(), h -> new HashMap<>())
                .merge(customer, (long) tokens, Math::max);
    }
}
