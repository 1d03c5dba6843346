package dev.jayturn.core.fleet;

import dev.jayturn.core.consensus.ProposalCallback;
import dev.jayturn.core.consensus.RaftNode;
import dev.jayturn.core.slice.SliceChange;
import dev.jayturn.core.slice.SliceGrant;
import dev.jayturn.core.slice.SliceLease;
import dev.jayturn.core.slice.SlicePlanner;
import dev.jayturn.core.slice.SliceRetirement;
import dev.jayturn.core.slice.SliceReturn;
import dev.jayturn.core.slice.SliceStatus;
import dev.jayturn.core.slice.SliceTable;
import dev.jayturn.core.slice.SliceTotals;
import dev.jayturn.core.timer.WallClock;
import dev.jayturn.core.transport.Addresses;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The leader's work on the slices: it plans, has each step agreed on, and tells the holders. */
final class SliceCoordinator {
    /** A lease is renewed once the holder's report is so much newer. */
    private static final long LEASE_RENEWAL_INTERVAL_MILLIS = 450;

    /** Below this part of a budget every update says what is left, so that refusals are certain. */
    private static final int NEARLY_SPENT_DIVISOR = 10;

    private final RaftNode raft;
    private final FleetState state;
    private final WallClock wallClock;
    private Map<String, Long> spentByCustomer = Map.of();
    private boolean changePending;

    SliceCoordinator(RaftNode raft, FleetState state, WallClock wallClock) {
        this.raft = raft;
        this.state = state;
        this.wallClock = wallClock;
    }

    /**
     * Takes one step, unless the last one has not been agreed on yet.
     *
     * @param entries all entry instances by link address
     * @param live those of them that report
     * @param settled those that slices are issued to
     */
    void plan(
            Map<String, EntryInstanceState> entries,
            List<EntryInstanceState> live,
            List<Peer> settled) {
        updateSpent(entries);
        if (changePending || state.configuration().version() == 0) {
            return;
        }
        SliceTable table = state.slices();
        List<SliceReturn> returns = new ArrayList<>();
        List<SlicePlanner.Holder> holders = new ArrayList<>();
        List<SlicePlanner.Holder> marked = new ArrayList<>();
        Set<String> settledHolders = new HashSet<>();
        settled.forEach(peer -> settledHolders.add(peer.holder()));
        for (EntryInstanceState entry : live) {
            for (SliceStatus status : entry.sliceStatuses.values()) {
                SliceTotals totals = table.totals(entry.holder, status.customer());
                if (status.returned() > totals.returned()) {
                    returns.add(
                            new SliceReturn(entry.holder, status.customer(), status.returned()));
                }
            }
            SlicePlanner.Holder holder =
                    new SlicePlanner.Holder(entry.holder, entry.dataCentre, entry.sliceStatuses);
            // Whoever gets a lease gets its marks in the same change.
            marked.add(holder);
            if (!entry.leaving && settledHolders.contains(entry.holder)) {
                holders.add(holder);
            }
        }
        SlicePlanner.Plan plan = SlicePlanner.plan(table, holders);
        for (EntryInstanceState entry : entries.values()) {
            entry.recalls = plan.recallsByHolder().getOrDefault(entry.holder, Map.of());
        }
        SliceChange change =
                new SliceChange(
                        returns,
                        replacedHolders(table, entries),
                        renewedLeases(table, live),
                        SlicePlanner.planMarks(table, marked),
                        plan.issues());
        if (!change.isEmpty()) {
            propose(change);
        }
    }

    /** Sums what was spent by live holders or may have been by dead ones. */
    private void updateSpent(Map<String, EntryInstanceState> entries) {
        SliceTable table = state.slices();
        Map<String, Long> sums = new HashMap<>();
        for (String customer : table.prepaid().keySet()) {
            sums.put(customer, table.consumed(customer));
        }
        for (EntryInstanceState entry : entries.values()) {
            if (table.isRetired(entry.holder)) {
                continue;
            }
            for (SliceStatus status : entry.sliceStatuses.values()) {
                sums.merge(status.customer(), status.spent(), Long::sum);
            }
        }
        spentByCustomer = sums;
    }

    private List<SliceLease> renewedLeases(SliceTable table, List<EntryInstanceState> live) {
        List<SliceLease> renewed = new ArrayList<>();
        for (EntryInstanceState entry : live) {
            SliceLease held = table.lease(entry.holder);
            long promised = entry.promisedAt.monotonicMillis();
            boolean news =
                    held == null
                            || promised - held.promised().monotonicMillis()
                                    >= LEASE_RENEWAL_INTERVAL_MILLIS;
            if (news && !entry.promisedAt.bootId().isEmpty()) {
                renewed.add(new SliceLease(entry.holder, entry.promisedAt, wallClock.wallMillis()));
            }
        }
        return renewed;
    }

    /** Returns the holders whose address another incarnation has reported from since. */
    private static List<SliceRetirement> replacedHolders(
            SliceTable table, Map<String, EntryInstanceState> entries) {
        List<SliceRetirement> replaced = new ArrayList<>();
        for (String holder : table.holders()) {
            EntryInstanceState successor = entries.get(Addresses.instanceOf(holder));
            if (successor != null && !successor.holder.equals(holder)) {
                replaced.add(
                        new SliceRetirement(
                                holder, successor.startedAt, successor.firstReportWallMillis));
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

    /** Returns whether tokens were issued to a holder that it has not been told of. */
    boolean hasUnsentIssues(EntryInstanceState entry) {
        for (Map.Entry<String, SliceTotals> held :
                state.slices().totalsByCustomer(entry.holder).entrySet()) {
            long told = entry.sentIssuedTotals.getOrDefault(held.getKey(), 0L);
            if (held.getValue().issued() > told) {
                return true;
            }
        }
        return false;
    }

    /** Returns what a holder has to be told; a recall is told once. */
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
                            long left = prepaid - spentByCustomer.getOrDefault(customer, 0L);
                            boolean news =
                                    status == null
                                            || status.knownIssuedTotal() != totals.issued()
                                            || status.knownMarkTotal() != totals.mark()
                                            || recall > 0;
                            entry.sentIssuedTotals.put(customer, totals.issued());
                            if (news || left < prepaid / NEARLY_SPENT_DIVISOR) {
                                grants.add(
                                        new SliceGrant(
                                                customer,
                                                totals.issued(),
                                                totals.mark(),
                                                left,
                                                recall));
                            }
                        });
        entry.recalls = Map.of();
        return grants;
    }
}
