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
    private final Map<String, Map<String, SliceTotals>> byHolder = new LinkedHashMap<>();
    private final Map<String, Long> consumed = new LinkedHashMap<>();
    private final Map<String, Long> outstanding = new LinkedHashMap<>();
    private final Map<String, SliceLease> leases = new LinkedHashMap<>();
    private final Set<String> retired = new LinkedHashSet<>();
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
            if (!retired.contains(lease.holder())) {
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
        if (!retired.contains(mark.holder()) && mark.markTotal() > totals.mark()) {
            put(
                    mark.holder(),
                    mark.customer(),
                    new SliceTotals(totals.issued(), totals.returned(), mark.markTotal()));
        }
    }

    private void retire(SliceRetirement retirement) {
        if (!retired.add(retirement.holder())) {
            return;
        }
        SliceLease lease = leases.remove(retirement.holder());
        boolean kept = lease == null || retirement.isWithin(lease);
        Map<String, SliceTotals> held = byHolder.remove(retirement.holder());
        if (held == null) {
            return;
        }
        held.forEach(
                (customer, totals) -> {
                    long lost = totals.outstanding();
                    if (kept) {
                        lost = Math.min(lost, totals.mark());
                    }
                    consumed.merge(customer, lost, Long::sum);
                    outstanding.merge(customer, lost - totals.outstanding(), Long::sum);
                });
    }

    private void applyIssue(SliceIssue issue) {
        long tokens = Math.min(issue.tokens(), unissued(issue.customer()));
        if (tokens <= 0 || retired.contains(issue.holder())) {
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
        byHolder.computeIfAbsent(holder, h -> new LinkedHashMap<>()).put(customer, totals);
        outstanding.merge(customer, change, Long::sum);
    }

    /** Returns whether a holder was retired. */
    public boolean isRetired(String holder) {
        return retired.contains(holder);
    }

    /** Returns the holders that are not retired. */
    public Set<String> holders() {
        return byHolder.keySet();
    }

    /** Returns a holder's lease, null before the first one. */
    public @Nullable SliceLease lease(String holder) {
        return leases.get(holder);
    }

    /** Returns a holder's totals by customer. */
    public Map<String, SliceTotals> totalsOf(String holder) {
        return byHolder.getOrDefault(holder, Map.of());
    }

    /** Returns a holder's totals for one customer. */
    public SliceTotals totals(String holder, String customer) {
        return totalsOf(holder).getOrDefault(customer, SliceTotals.NONE);
    }

    /** Returns the tokens that retired holders may have spent. */
    public long consumed(String customer) {
        return consumed.getOrDefault(customer, 0L);
    }

    /** Returns the tokens that may still be issued; retired holders' stay in outstanding. */
    public long unissued(String customer) {
        long total = prepaid.getOrDefault(customer, 0L);
        return Math.max(0, total - outstanding.getOrDefault(customer, 0L));
    }

    /** Returns records that {@link #restore} rebuilds the table from. */
    public List<JournalRecord> snapshot() {
        List<JournalRecord> items = new ArrayList<>();
        byHolder.forEach(
                (holder, held) ->
                        held.forEach(
                                (customer, t) -> items.add(new SliceStored(holder, customer, t))));
        consumed.forEach((customer, tokens) -> items.add(new ConsumedStored(customer, tokens)));
        leases.values().forEach(lease -> items.add(new LeaseStored(lease)));
        retired.forEach(holder -> items.add(new RetiredStored(holder)));
        return items;
    }

    /** Empties the table, but for the prepaid tokens. */
    public void clear() {
        byHolder.clear();
        consumed.clear();
        outstanding.clear();
        leases.clear();
        retired.clear();
    }

    /** Takes one record of a snapshot. */
    public void restore(JournalRecord item) {
        if (item instanceof SliceStored stored) {
            put(stored.holder(), stored.customer(), stored.totals());
        } else if (item instanceof LeaseStored stored) {
            leases.put(stored.lease().holder(), stored.lease());
        } else if (item instanceof ConsumedStored stored) {
            consumed.put(stored.customer(), stored.tokens());
            outstanding.merge(stored.customer(), stored.tokens(), Long::sum);
        } else if (item instanceof RetiredStored stored) {
            retired.add(stored.holder());
        }
    }
}
