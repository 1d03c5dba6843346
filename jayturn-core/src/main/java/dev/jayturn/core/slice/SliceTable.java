package dev.jayturn.core.slice;

import dev.jayturn.core.journal.JournalRecord;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The replicated state of all slices. For each customer, the sum of the outstanding tokens of all
 * holders and of the tokens that retired holders may have spent does not exceed the prepaid tokens.
 */
public final class SliceTable {
    private final Map<String, Map<String, SliceTotals>> totalsByHolder = new LinkedHashMap<>();

    /** Tokens that retired holders may have spent. */
    private final Map<String, Long> consumedByCustomer = new LinkedHashMap<>();

    /**
     * Sum of {@link SliceTotals#outstanding} of the holders that are not retired, plus the consumed
     * tokens, which no holder's totals include.
     */
    private final Map<String, Long> outstandingByCustomer = new LinkedHashMap<>();

    private final Map<String, SliceLease> leases = new LinkedHashMap<>();
    private final Set<String> retiredHolders = new LinkedHashSet<>();
    private Map<String, Long> prepaid = Map.of();

    /** Replaces the prepaid tokens by customer. */
    public void setPrepaid(Map<String, Long> tokens) {
        prepaid = Map.copyOf(tokens);
    }

    /** Returns the prepaid tokens by customer; only customers that have a budget are included. */
    public Map<String, Long> prepaid() {
        return prepaid;
    }

    /**
     * Applies a change. An issue of more tokens than are unissued is reduced to those. Changes to
     * retired holders are ignored.
     */
    public void apply(SliceChange change) {
        for (SliceReturn sliceReturn : change.returns()) {
            applyReturn(sliceReturn);
        }
        for (SliceRetirement retirement : change.retirements()) {
            retire(retirement);
        }
        for (SliceLease lease : change.leases()) {
            if (!retiredHolders.contains(lease.holder())) {
                leases.put(lease.holder(), lease);
            }
        }
        for (SliceMark mark : change.marks()) {
            raiseMark(mark);
        }
        for (SliceIssue issue : change.issues()) {
            applyIssue(issue);
        }
    }

    private void applyReturn(SliceReturn sliceReturn) {
        SliceTotals totals = totals(sliceReturn.holder(), sliceReturn.customer());
        long returned = Math.min(sliceReturn.returnedTotal(), totals.issued());
        if (returned > totals.returned()) {
            put(
                    sliceReturn.holder(),
                    sliceReturn.customer(),
                    new SliceTotals(totals.issued(), returned, totals.mark()));
        }
    }

    private void raiseMark(SliceMark mark) {
        SliceTotals totals = totals(mark.holder(), mark.customer());
        if (!retiredHolders.contains(mark.holder()) && mark.markTotal() > totals.mark()) {
            put(
                    mark.holder(),
                    mark.customer(),
                    new SliceTotals(totals.issued(), totals.returned(), mark.markTotal()));
        }
    }

    private void retire(SliceRetirement retirement) {
        if (!retiredHolders.add(retirement.holder())) {
            return;
        }
        boolean withinLease = endedWithinLease(retirement);
        leases.remove(retirement.holder());
        Map<String, SliceTotals> totalsByCustomer = totalsByHolder.remove(retirement.holder());
        if (totalsByCustomer == null) {
            return;
        }
        totalsByCustomer.forEach(
                (customer, totals) -> {
                    long maybeSpent = totals.outstanding();
                    if (withinLease) {
                        maybeSpent = Math.min(maybeSpent, totals.mark());
                    }
                    consumedByCustomer.merge(customer, maybeSpent, Long::sum);
                    outstandingByCustomer.merge(
                            customer, maybeSpent - totals.outstanding(), Long::sum);
                });
    }

    /**
     * Returns whether a holder that is to be retired may have drawn no more than its marks. That is
     * also so for a holder without a lease.
     */
    public boolean endedWithinLease(SliceRetirement retirement) {
        SliceLease lease = leases.get(retirement.holder());
        return lease == null || retirement.isWithin(lease);
    }

    private void applyIssue(SliceIssue issue) {
        long tokens = Math.min(issue.tokens(), unissued(issue.customer()));
        if (tokens <= 0 || retiredHolders.contains(issue.holder())) {
            return;
        }
        SliceTotals totals = totals(issue.holder(), issue.customer());
        put(
                issue.holder(),
                issue.customer(),
                new SliceTotals(totals.issued() + tokens, totals.returned(), totals.mark()));
    }

    private void put(String holder, String customer, SliceTotals totals) {
        long delta = totals.outstanding() - totals(holder, customer).outstanding();
        totalsByHolder.computeIfAbsent(holder, h -> new LinkedHashMap<>()).put(customer, totals);
        outstandingByCustomer.merge(customer, delta, Long::sum);
    }

    /** Returns whether a holder was retired. */
    public boolean isRetired(String holder) {
        return retiredHolders.contains(holder);
    }

    /** Returns the holders that have slices and are not retired. */
    public Set<String> holders() {
        return totalsByHolder.keySet();
    }

    /** Returns a holder's lease; null if it has none. */
    public @Nullable SliceLease lease(String holder) {
        return leases.get(holder);
    }

    /** Returns a holder's totals by customer. */
    public Map<String, SliceTotals> totalsByCustomer(String holder) {
        return totalsByHolder.getOrDefault(holder, Map.of());
    }

    /** Returns a holder's totals for one customer. */
    public SliceTotals totals(String holder, String customer) {
        return totalsByCustomer(holder).getOrDefault(customer, SliceTotals.NONE);
    }

    /** Returns the tokens that retired holders may have spent. */
    public long consumed(String customer) {
        return consumedByCustomer.getOrDefault(customer, 0L);
    }

    /**
     * Returns the tokens that can still be issued: the prepaid tokens minus the outstanding tokens
     * of the holders that are not retired and minus the {@link #consumed} tokens.
     */
    public long unissued(String customer) {
        return unissuedOf(customer, prepaid.getOrDefault(customer, 0L));
    }

    /** Returns the tokens that can still be issued of a number of prepaid tokens. */
    public long unissuedOf(String customer, long prepaidTokens) {
        return Math.max(0, prepaidTokens - outstandingByCustomer.getOrDefault(customer, 0L));
    }

    /** Returns the records from which {@link #restore} rebuilds the table. */
    public List<JournalRecord> snapshot() {
        List<JournalRecord> items = new ArrayList<>();
        totalsByHolder.forEach(
                (holder, totalsByCustomer) ->
                        totalsByCustomer.forEach(
                                (customer, totals) ->
                                        items.add(new SliceStored(holder, customer, totals))));
        consumedByCustomer.forEach(
                (customer, tokens) -> items.add(new ConsumedStored(customer, tokens)));
        leases.values().forEach(lease -> items.add(new LeaseStored(lease)));
        retiredHolders.forEach(holder -> items.add(new RetiredStored(holder)));
        return items;
    }

    /** Removes everything except the prepaid tokens. */
    public void clear() {
        totalsByHolder.clear();
        consumedByCustomer.clear();
        outstandingByCustomer.clear();
        leases.clear();
        retiredHolders.clear();
    }

    /** Restores one record of a snapshot. */
    public void restore(JournalRecord item) {
        if (item instanceof SliceStored stored) {
            put(stored.holder(), stored.customer(), stored.totals());
        } else if (item instanceof LeaseStored stored) {
            leases.put(stored.lease().holder(), stored.lease());
        } else if (item instanceof ConsumedStored stored) {
            consumedByCustomer.put(stored.customer(), stored.tokens());
            outstandingByCustomer.merge(stored.customer(), stored.tokens(), Long::sum);
        } else if (item instanceof RetiredStored stored) {
            retiredHolders.add(stored.holder());
        }
    }
}
