package dev.jayturn.core.fleet;

import dev.jayturn.core.consensus.ProposalCallback;
import dev.jayturn.core.consensus.RaftNode;
import dev.jayturn.core.slice.SliceChange;
import dev.jayturn.core.slice.SliceGrant;
import dev.jayturn.core.slice.SliceIssue;
import dev.jayturn.core.slice.SliceLease;
import dev.jayturn.core.slice.SlicePlanner;
import dev.jayturn.core.slice.SliceRetirement;
import dev.jayturn.core.slice.SliceReturn;
import dev.jayturn.core.slice.SliceStatus;
import dev.jayturn.core.slice.SliceTable;
import dev.jayturn.core.slice.SliceTotals;
import dev.jayturn.core.transport.Addresses;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Manages the slices on the leader: plans changes, proposes them to the log and computes the grants
 * that holders are sent.
 */
final class SliceCoordinator {
    /** A lease is renewed once the holder's promise is newer than the recorded one by this time. */
    private static final long LEASE_RENEWAL_INTERVAL_MILLIS = 200;

    /**
     * A budget is nearly spent once less than 1/N of it is left, where N is this number. Every
     * update then includes the remaining tokens, so that entry instances know with certainty when
     * the budget cannot cover a request.
     */
    private static final int NEARLY_SPENT_DIVISOR = 10;

    /**
     * Minimum interval between estimates of the remaining tokens. A shortage at many instances asks
     * for plans far more often, and an estimate takes time for each of their slices.
     */
    private static final long ESTIMATE_INTERVAL_MILLIS = 100;

    private final RaftNode raft;
    private final FleetState state;
    private Map<String, Long> remainingByCustomer = Map.of();

    /** The prepaid tokens that the estimate of the remaining tokens is based on. */
    private Map<String, Long> estimatedPrepaid = Map.of();

    private long estimatedAtMillis = Long.MIN_VALUE / 2;
    private final RetirementListener listener;
    private boolean changePending;

    SliceCoordinator(RaftNode raft, FleetState state, RetirementListener listener) {
        this.listener = listener;
        this.raft = raft;
        this.state = state;
    }

    /**
     * Proposes the next change of the slices, unless the last one is still pending.
     *
     * @param entries all entry instances by link address
     * @param live entry instances that have reported recently
     * @param stablePeers entry instances that slices may be issued to
     * @param nowMillis current time
     */
    void plan(
            Map<String, EntryInstanceState> entries,
            List<EntryInstanceState> live,
            List<Peer> stablePeers,
            long nowMillis) {
        updateRemaining(entries, nowMillis);
        if (changePending || state.configuration().version() == 0) {
            return;
        }
        SliceTable table = state.slices();
        List<SliceReturn> returns = new ArrayList<>();
        List<SlicePlanner.Holder> liveHolders = new ArrayList<>();
        for (EntryInstanceState entry : live) {
            for (SliceStatus status : entry.sliceStatuses.values()) {
                SliceTotals totals = table.totals(entry.holder, status.customer());
                if (status.returned() > totals.returned()) {
                    returns.add(
                            new SliceReturn(entry.holder, status.customer(), status.returned()));
                }
            }
            // Includes holders that get no tokens: the change that renews a lease has to raise its
            // marks, too, since they have to cover what was drawn when the promise was made.
            liveHolders.add(toHolder(entry));
        }
        SlicePlanner.Plan plan = SlicePlanner.plan(table, issueTargets(live, stablePeers));
        for (EntryInstanceState entry : entries.values()) {
            entry.recalls = plan.recallsByHolder().getOrDefault(entry.holder, Map.of());
        }
        SliceChange change =
                new SliceChange(
                        returns,
                        replacedHolders(table, entries),
                        renewedLeases(table, live),
                        SlicePlanner.planMarks(table, liveHolders),
                        plan.issues());
        if (!change.isEmpty()) {
            propose(change);
        }
    }

    /**
     * Proposes the issues for budgets that the configuration proposed just before this call raises.
     * Both reach the log together, so that no entry instance learns of a budget without its share:
     * a partition right after the change would leave it unspendable until the partition ends.
     */
    void issueGrowth(
            Map<String, Long> prepaid, List<EntryInstanceState> live, List<Peer> stablePeers) {
        List<SliceIssue> issues =
                SlicePlanner.planGrowth(state.slices(), prepaid, issueTargets(live, stablePeers));
        if (!issues.isEmpty()) {
            raft.propose(
                    new SliceChange(List.of(), List.of(), List.of(), List.of(), issues),
                    ProposalCallback.IGNORED);
        }
    }

    private static SlicePlanner.Holder toHolder(EntryInstanceState entry) {
        return new SlicePlanner.Holder(entry.holder, entry.dataCentre, entry.sliceStatuses);
    }

    private static List<SlicePlanner.Holder> issueTargets(
            List<EntryInstanceState> live, List<Peer> stablePeers) {
        Set<String> stableHolders = new HashSet<>();
        stablePeers.forEach(peer -> stableHolders.add(peer.holder()));
        List<SlicePlanner.Holder> targets = new ArrayList<>();
        for (EntryInstanceState entry : live) {
            if (!entry.leaving && stableHolders.contains(entry.holder)) {
                targets.add(toHolder(entry));
            }
        }
        return targets;
    }

    private void updateRemaining(Map<String, EntryInstanceState> entries, long nowMillis) {
        if (nowMillis - estimatedAtMillis < ESTIMATE_INTERVAL_MILLIS) {
            return;
        }
        estimatedAtMillis = nowMillis;
        estimatedPrepaid = state.slices().prepaid();
        remainingByCustomer = RemainingTokens.estimate(state.slices(), entries.values());
    }

    /** Returns the remaining tokens; a top-up since the estimate counts at once. */
    private long remaining(String customer, long prepaid) {
        Long estimated = remainingByCustomer.get(customer);
        return estimated == null
                ? prepaid
                : estimated + prepaid - estimatedPrepaid.getOrDefault(customer, prepaid);
    }

    private List<SliceLease> renewedLeases(SliceTable table, List<EntryInstanceState> live) {
        List<SliceLease> renewed = new ArrayList<>();
        for (EntryInstanceState entry : live) {
            SliceLease recorded = table.lease(entry.holder);
            long promisedMillis = entry.promisedAt.monotonicMillis();
            boolean isDue =
                    recorded == null
                            || promisedMillis - recorded.promised().monotonicMillis()
                                    >= LEASE_RENEWAL_INTERVAL_MILLIS;
            if (isDue && !entry.promisedAt.bootId().isEmpty()) {
                renewed.add(
                        new SliceLease(entry.holder, entry.promisedAt, entry.promisedWallMillis));
            }
        }
        return renewed;
    }

    /** Returns the holders that have been replaced by another incarnation at their address. */
    private List<SliceRetirement> replacedHolders(
            SliceTable table, Map<String, EntryInstanceState> entries) {
        List<SliceRetirement> replaced = new ArrayList<>();
        for (String holder : table.holders()) {
            EntryInstanceState successor = entries.get(Addresses.instanceOf(holder));
            if (successor != null && !successor.holder.equals(holder)) {
                SliceRetirement retirement =
                        new SliceRetirement(
                                holder, successor.startedAt, successor.startedWallMillis);
                replaced.add(retirement);
                listener.onRetirement(
                        retirement, table.lease(holder), table.endedWithinLease(retirement));
            }
        }
        return replaced;
    }

    private void propose(SliceChange change) {
        changePending = true;
        raft.propose(
                change,
                new ProposalCallback() {
                    @Override
                    public void onApplied(Object outcome) {
                        changePending = false;
                    }

                    @Override
                    public void onLeadershipLost() {
                        changePending = false;
                    }
                });
    }

    /** Returns whether a holder was issued tokens that no update to it has included yet. */
    boolean hasUnsentIssues(EntryInstanceState entry) {
        for (Map.Entry<String, SliceTotals> totals :
                state.slices().totalsByCustomer(entry.holder).entrySet()) {
            long sent = entry.sentIssuedTotals.getOrDefault(totals.getKey(), 0L);
            if (totals.getValue().issued() > sent) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the grants to send to a holder and records them as sent; each recall is sent once.
     */
    List<SliceGrant> collectGrants(EntryInstanceState entry) {
        List<SliceGrant> grants = new ArrayList<>();
        if (!raft.isLeader()
                || (entry.sliceStatuses.isEmpty() && entry.configurationVersion == 0)) {
            return grants;
        }
        SliceTable table = state.slices();
        table.prepaid()
                .forEach(
                        (customer, prepaid) -> {
                            SliceStatus status = entry.sliceStatuses.get(customer);
                            SliceTotals totals = table.totals(entry.holder, customer);
                            long recall = entry.recalls.getOrDefault(customer, 0L);
                            long remaining = remaining(customer, prepaid);
                            boolean changed =
                                    status == null
                                            || status.knownIssuedTotal() != totals.issued()
                                            || status.knownMarkTotal() != totals.mark()
                                            || recall > 0;
                            entry.sentIssuedTotals.put(customer, totals.issued());
                            if (changed || remaining < prepaid / NEARLY_SPENT_DIVISOR) {
                                grants.add(
                                        new SliceGrant(
                                                customer,
                                                totals.issued(),
                                                totals.mark(),
                                                remaining,
                                                recall));
                            }
                        });
        entry.recalls = Map.of();
        return grants;
    }
}
