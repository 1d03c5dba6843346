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
 * The replicated state of all slices. For each customer the sum of outstanding slices and of what
 * retired holders held stays within the prepaid tokens.
 */
public final class SliceTable {
    private final Map<String, Map<String, SliceTotals>> totalsByHolder = new LinkedHashMap<>();
    private final Map<String, Long> consumedByCustomer = new LinkedHashMap<>();
    private final Map<String, Long> outstandingByCustomer = new LinkedHashMap<>();
    private final Map<String, SliceLease> leases = new LinkedHashMap<>();
    private final Set<String> retiredHolders = new LinkedHashSet<>();
    private Map<String, Long> prepaid = Map.of();

    /** Replaces the prepaid tokens of the customers. */
    public void setPrepaid(Map<String, Long> tokens) {
        prepaid = Map.copyOf(tokens);
    }

    /** Returns the prepaid tokens of the customers that have a budget. */
    public Map<String, Long> prepaid() {
        return prepaid;
    }

    /** Applies a change; an issue is cut down to what is left, one for a retired holder dropped. */
    public void apply(SliceChange change) {
        for (SliceReturn given : change.returns()) {
            applyReturn(given);
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

    private void applyReturn(SliceReturn given) {
        SliceTotals totals = totals(given.holder(), given.customer());
        long returned = Math.min(given.returnedTotal(), totals.issued());
        if (returned > totals.returned()) {
            put(
                    given.holder(),
                    given.customer(),
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
        SliceLease lease = leases.remove(retirement.holder());
        boolean kept = lease == null || retirement.isWithin(lease);
        Map<String, SliceTotals> held = totalsByHolder.remove(retirement.holder());
        if (held == null) {
            return;
        }
        held.forEach(
                (customer, totals) -> {
                    long lost = totals.outstanding();
                    if (kept) {
                        lost = Math.min(lost, totals.mark());
                    }
                    consumedByCustomer.merge(customer, lost, Long::sum);
                    outstandingByCustomer.merge(customer, lost - totals.outstanding(), Long::sum);
                });
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
        long change = totals.outstanding() - totals(holder, customer).outstanding();
        totalsByHolder.computeIfAbsent(holder, h -> new LinkedHashMap<>()).put(customer, totals);
        outstandingByCustomer.merge(customer, change, Long::sum);
    }

    /** Returns whether a holder was retired. */
    public boolean isRetired(String holder) {
        return retiredHolders.contains(holder);
    }

    /** Returns the holders that are not retired. */
    public Set<String> holders() {
        return totalsByHolder.keySet();
    }

    /** Returns a holder's lease, null before the first one. */
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

    /** Returns the tokens that may still be issued; retired holders' stay in outstanding. */
    public long unissued(String customer) {
        long total = prepaid.getOrDefault(customer, 0L);
        return Math.max(0, total - outstandingByCustomer.getOrDefault(customer, 0L));
    }

    /** Returns records that {@link #restore} rebuilds the table from. */
    public List<JournalRecord> snapshot() {
        List<JournalRecord> items = new ArrayList<>();
        totalsByHolder.forEach(
                (holder, held) ->
                        held.forEach(
                                (customer, t) -> items.add(new SliceStored(holder, customer, t))));
        consumedByCustomer.forEach(
                (customer, tokens) -> items.add(new ConsumedStored(customer, tokens)));
        leases.values().forEach(lease -> items.add(new LeaseStored(lease)));
        retiredHolders.forEach(holder -> items.add(new RetiredStored(holder)));
        return items;
    }

    /** Empties the table, but for the prepaid tokens. */
    public void clear() {
        totalsByHolder.clear();
        consumedByCustomer.clear();
        outstandingByCustomer.clear();
        leases.clear();
        retiredHolders.clear();
    }

    /** Takes one record of a snapshot. */
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
