package dev.jayturn.core.slice;

import dev.jayturn.core.transport.Addresses;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Splits budgets among the data centres by demand. The pattern answered: all instances are cut off
 * from control at once for some ten seconds, and all of them may die at any moment. So a data
 * centre holds what lasts it for a cut at its present rate; the rest stays in the pool, and when
 * that runs out tokens are taken from where they would last longest. Marks follow what is drawn
 * closely, since the tokens between the two are lost when a holder dies.
 */
public final class SlicePlanner {
    /** Time that a slice lasts at the present demand, in seconds. */
    private static final double HORIZON_SECONDS = 10;

    /** Weight of an idle holder against the mean demand. */
    private static final double IDLE_DEMAND_SHARE = 0.25;

    /** Share of a budget that stands in slices whatever the demand. */
    private static final double BASE_SHARE = 0.5;

    /** Time for which a mark lasts at the present demand: a lease and its renewal, in seconds. */
    private static final double MARK_HEADROOM_SECONDS = 3.6;

    /** A mark is raised once what it still allows falls below this share of its lead. */
    private static final double RAISE_MARK_BELOW = 0.9;

    /** A holder gives back what goes beyond this multiple of what it is due. */
    private static final double RECALL_ABOVE_TARGET = 1.6;

    /** A slice is filled up once it holds less than this share of what it is due. */
    private static final double REFILL_BELOW_TARGET = 0.75;

    /** A data centre with more than this multiple of its share gives to those that run short. */
    private static final double RECALL_ABOVE_SHARE = 1.3;

    /** No tokens are moved between data centres while the pool holds this part of all. */
    private static final int REBALANCE_UNISSUED_DIVISOR = 20;

    /** A data centre with less than this part of its share runs short. */
    private static final double SHORT_BELOW_SHARE = 0.5;

    private SlicePlanner() {}

    /** A live holder and what it last reported. */
    public record Holder(String id, String dataCentre, Map<String, SliceStatus> statusByCustomer) {}

    /** A data centre's holders; its slice of a customer's budget is issued to one of them. */
    private static final class DataCentreGroup {
        final List<Holder> holders = new ArrayList<>();
        double weight;
        double demandPerSecond;
        double averageRequestTokens;
        long available;
        long largestShortage;

        Holder homeHolder(String customer) {
            Map<String, Holder> byAddress = new HashMap<>();
            for (Holder holder : holders) {
                byAddress.put(Addresses.instanceOf(holder.id()), holder);
            }
            Holder home = byAddress.get(HomeInstance.of(customer, byAddress.keySet()));
            return home == null ? holders.get(0) : home;
        }
    }

    /**
     * The next step.
     *
     * @param recallsByHolder tokens to be given back by holder and customer
     */
    public record Plan(List<SliceIssue> issues, Map<String, Map<String, Long>> recallsByHolder) {}

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
    public static List<SliceMark> planMarks(SliceTable table, List<Holder> holders) {
        List<SliceMark> marks = new ArrayList<>();
        for (Holder holder : holders) {
            holder.statusByCustomer()
                    .forEach(
                            (customer, status) -> {
                                double lead =
                                        Math.max(
                                                MARK_HEADROOM_SECONDS * status.drawnPerSecond(),
                                                Math.max(
                                                        status.averageRequestTokens(),
                                                        status.largestShortage()));
                                long mark = table.totals(holder.id(), customer).mark();
                                if (mark < status.drawn() + RAISE_MARK_BELOW * lead) {
                                    long raised = (long) (status.drawn() + lead);
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
            long available = table.totals(holder.id(), customer).issued();
            if (status != null) {
                available += status.available() - status.knownIssuedTotal();
                group.demandPerSecond += status.demandPerSecond();
                group.averageRequestTokens =
                        Math.max(group.averageRequestTokens, status.averageRequestTokens());
                group.largestShortage = Math.max(group.largestShortage, status.largestShortage());
            }
            group.available += available;
        }
        return new ArrayList<>(groups.values());
    }

    private static void planCustomer(
            SliceTable table, String customer, List<Holder> holders, Plan plan) {
        List<DataCentreGroup> groups = groupByDataCentre(table, customer, holders);
        long pool = table.unissued(customer);
        long total = pool;
        double demand = 0;
        for (DataCentreGroup group : groups) {
            total += Math.max(0, group.available);
            demand += group.demandPerSecond;
        }
        double idle = demand > 0 ? IDLE_DEMAND_SHARE * demand / groups.size() : 1;
        double sum = 0;
        for (DataCentreGroup group : groups) {
            group.weight = Math.max(group.demandPerSecond, idle);
            sum += group.weight;
        }
        double base = BASE_SHARE * table.prepaid().getOrDefault(customer, 0L) / groups.size();
        boolean anyShort = false;
        for (DataCentreGroup group : groups) {
            double ideal = total * group.weight / sum;
            double lasting = Math.max(base, HORIZON_SECONDS * group.demandPerSecond);
            long want = Math.max((long) Math.min(ideal, lasting), group.largestShortage);
            boolean low =
                    group.available < REFILL_BELOW_TARGET * want
                            || group.largestShortage > group.available;
            Holder home = group.homeHolder(customer);
            if (low && pool > 0) {
                long tokens = Math.min(pool, want - group.available);
                pool -= tokens;
                group.available += tokens;
                plan.issues().add(new SliceIssue(home.id(), customer, tokens));
            }
            double most = RECALL_ABOVE_TARGET * Math.max(want, group.averageRequestTokens);
            if (group.available > most && group.largestShortage == 0) {
                recall(plan, group, customer, group.available - most);
            }
            anyShort |=
                    group.available < SHORT_BELOW_SHARE * ideal
                            || group.largestShortage > group.available;
        }
        if (!anyShort || pool > total / REBALANCE_UNISSUED_DIVISOR) {
            return;
        }
        for (DataCentreGroup group : groups) {
            double ideal = total * group.weight / sum;
            if (group.available > RECALL_ABOVE_SHARE * ideal && group.largestShortage == 0) {
                recall(plan, group, customer, group.available - ideal);
            }
        }
    }

    /** Recalls tokens from the holder of a data centre that has most of them. */
    private static void recall(Plan plan, DataCentreGroup group, String customer, double tokens) {
        Holder richest = group.homeHolder(customer);
        long most = Long.MIN_VALUE;
        for (Holder holder : group.holders) {
            SliceStatus status = holder.statusByCustomer().get(customer);
            if (status != null && status.available() > most) {
                most = status.available();
                richest = holder;
            }
        }
        plan.recallsByHolder()
                .computeIfAbsent(richest.id(), h -> new HashMap<>())
                .merge(customer, (long) tokens, Math::max);
    }
}
