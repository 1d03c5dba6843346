package dev.jayturn.core.control;

import dev.jayturn.core.budget.GrantPull;
import dev.jayturn.core.budget.GrantTotal;
import dev.jayturn.core.budget.GrantTotals;
import dev.jayturn.core.consensus.Command;
import dev.jayturn.core.consensus.StateMachine;
import dev.jayturn.core.journal.JournalRecord;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.rules.RuleDelta;
import dev.jayturn.core.rules.RulesUpdate;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** What the control log says: rules, credits, grants, claims and changes already answered. */
public final class ControlState implements StateMachine {
    /** Most change ids and versions remembered. */
    static final int MAX_CHANGES = 10_000;

    /** Largest credit, in tokens. */
    static final long MAX_CREDIT_TOKENS = 1_000_000_000_000_000L;

    private final Map<String, String> linesById = new TreeMap<>();
    private final TreeMap<Long, RulesVersion> versions = new TreeMap<>();
    private final Map<String, CreditNoted> creditsById = new LinkedHashMap<>();
    private final TreeMap<Long, String> budgetByCreditIndex = new TreeMap<>();
    private final Map<String, Long> creditedByBudget = new HashMap<>();
    private final Map<String, Map<String, Long>> grantsByBudget = new HashMap<>();
    private final Map<String, ChangeNoted> changesById = new LinkedHashMap<>();
    private final ClaimTable claims = new ClaimTable();
    private final BilledKeys billedKeys = new BilledKeys();
    private long version;

    @Override
    public Object apply(long index, Command command) {
        if (command instanceof ApplyRules rules) {
            return applyOnce(rules.changeId(), rules.fingerprint(), () -> accept(rules));
        }
        if (command instanceof Credit credit) {
            int fingerprint = (credit.budget() + " " + credit.tokens()).hashCode();
            return applyOnce(credit.creditId(), fingerprint, () -> accept(credit, index));
        }
        if (command instanceof ClaimCall call) {
            return claims.claim(call, version);
        }
        if (command instanceof RecordOutcome outcome) {
            return claims.record(outcome, version);
        }
        if (command instanceof ReleaseClaim release) {
            return claims.release(release, version);
        }
        if (command instanceof ResolveClaim resolve) {
            return claims.resolve(resolve, version);
        }
        if (command instanceof MeetBills meeting) {
            return billedKeys.compare(meeting.bills());
        }
        return ControlOutcome.of(ResultCode.OK, version);
    }

    private interface Change {
        ControlOutcome apply();
    }

    /** A change sent again gets its first answer; another change under the same id is refused. */
    private ControlOutcome applyOnce(String changeId, int fingerprint, Change change) {
        ChangeNoted first = changesById.get(changeId);
        if (first != null) {
            return first.fingerprint() == fingerprint
                    ? first.outcome()
                    : ControlOutcome.of(ResultCode.CHANGE_ID_REUSED, version);
        }
        ControlOutcome outcome = change.apply();
        addChange(new ChangeNoted(changeId, fingerprint, outcome));
        return outcome;
    }

    private void addChange(ChangeNoted change) {
        changesById.put(change.changeId(), change);
        if (changesById.size() > MAX_CHANGES) {
            changesById.remove(changesById.keySet().iterator().next());
        }
    }

    private ControlOutcome accept(ApplyRules rules) {
        if (rules.expectedVersion() != version) {
            return ControlOutcome.of(ResultCode.VERSION_CONFLICT, version);
        }
        version++;
        rules.delta().applyTo(linesById);
        RulesVersion accepted =
                new RulesVersion(
                        version,
                        rules.changeId(),
                        rules.operator(),
                        rules.atMillis(),
                        rules.delta());
        versions.put(version, accepted);
        if (versions.size() > MAX_CHANGES) {
            versions.pollFirstEntry();
        }
        return ControlOutcome.of(ResultCode.OK, version);
    }

    private ControlOutcome accept(Credit credit, long index) {
        if (credit.tokens() < 1 || credit.tokens() > MAX_CREDIT_TOKENS) {
            return ControlOutcome.of(ResultCode.CREDIT_BAD_AMOUNT, version);
        }
        addCredit(new CreditNoted(credit, index));
        return ControlOutcome.of(ResultCode.OK, version);
    }

    private void addCredit(CreditNoted noted) {
        Credit credit = noted.credit();
        creditsById.put(credit.creditId(), noted);
        budgetByCreditIndex.put(noted.index(), credit.budget());
        creditedByBudget.merge(credit.budget(), credit.tokens(), Long::sum);
        Map<String, Long> shares =
                grantsByBudget.computeIfAbsent(credit.budget(), b -> new TreeMap<>());
        for (CreditShare share : credit.shares()) {
            shares.merge(share.ledger(), share.tokens(), Long::sum);
        }
    }

    /** Returns the cumulative grants to a ledger that changed after an index. */
    public GrantTotals grantsAfter(GrantPull pull) {
        List<GrantTotal> totals = new ArrayList<>();
        long index = pull.afterIndex();
        for (Map.Entry<Long, String> entry :
                budgetByCreditIndex.tailMap(pull.afterIndex(), false).entrySet()) {
            if (totals.size() == GrantTotals.MAX_TOTALS) {
                break;
            }
            index = entry.getKey();
            totals.add(
                    new GrantTotal(entry.getValue(), grantTotal(entry.getValue(), pull.ledger())));
        }
        return new GrantTotals(index, totals, pull.round());
    }

    private long grantTotal(String budget, String ledger) {
        return grantsByBudget.getOrDefault(budget, Map.of()).getOrDefault(ledger, 0L);
    }

    @Override
    public List<JournalRecord> snapshot() {
        List<JournalRecord> items = new ArrayList<>();
        linesById.forEach((id, line) -> items.add(new RuleLine(id, line)));
        items.addAll(versions.values());
        items.addAll(creditsById.values());
        items.addAll(changesById.values());
        items.addAll(claims.all());
        billedKeys.all().forEach(bill -> items.add(new KeyedBillNoted(bill)));
        return items;
    }

    @Override
    public void restore(List<JournalRecord> items) {
        clear();
        for (JournalRecord item : items) {
            if (item instanceof RuleLine line) {
                linesById.put(line.id(), line.line());
            } else if (item instanceof RulesVersion accepted) {
                versions.put(accepted.version(), accepted);
                version = Math.max(version, accepted.version());
            } else if (item instanceof CreditNoted credit) {
                addCredit(credit);
            } else if (item instanceof ChangeNoted change) {
                addChange(change);
            } else if (item instanceof KeyedBillNoted noted) {
                billedKeys.compare(List.of(noted.bill()));
            } else if (item instanceof Claim claim) {
                claims.put(claim);
            }
        }
    }

    private void clear() {
        linesById.clear();
        versions.clear();
        creditsById.clear();
        budgetByCreditIndex.clear();
        creditedByBudget.clear();
        grantsByBudget.clear();
        changesById.clear();
        claims.clear();
        billedKeys.clear();
        version = 0;
    }

    /** Returns the version of the rules in force. */
    public long version() {
        return version;
    }

    /** Returns the lines in force, by rule id. */
    public Map<String, String> lines() {
        return linesById;
    }

    /** Returns the step from a version to the one in force; from 0 if it is no longer known. */
    public RulesUpdate updateFrom(long from) {
        Map.Entry<Long, RulesVersion> next = versions.ceilingEntry(from + 1);
        boolean known = from > 0 && next != null && next.getKey() == from + 1;
        if (!known) {
            RuleDelta whole = new RuleDelta(new ArrayList<>(linesById.values()), List.of());
            return new RulesUpdate(0, version, whole, true);
        }
        Map<String, String> puts = new LinkedHashMap<>();
        Map<String, String> removals = new LinkedHashMap<>();
        for (RulesVersion step : versions.tailMap(from, false).values()) {
            for (String line : step.delta().puts()) {
                String id = RuleDelta.idOf(line);
                puts.put(id, line);
                removals.remove(id);
            }
            for (String id : step.delta().removals()) {
                puts.remove(id);
                removals.put(id, id);
            }
        }
        RuleDelta delta =
                new RuleDelta(new ArrayList<>(puts.values()), new ArrayList<>(removals.values()));
        return new RulesUpdate(from, version, delta, true);
    }

    /** Returns accepted versions, oldest first. */
    public Collection<RulesVersion> versions() {
        return versions.values();
    }

    /** Returns the tokens credited to a budget. */
    public long credited(String budget) {
        return creditedByBudget.getOrDefault(budget, 0L);
    }

    /** Returns the accepted credits, oldest first. */
    public Collection<CreditNoted> credits() {
        return creditsById.values();
    }

    /** Returns each ledger's cumulative grant of a budget. */
    public Map<String, Long> grants(String budget) {
        return grantsByBudget.getOrDefault(budget, Map.of());
    }

    /** Returns claims whose outcome is not known, oldest first. */
    public List<Claim> unresolvedClaims() {
        return claims.unresolved();
    }

    /** Returns a claim; null if there is none. */
    public @Nullable Claim findClaim(String customer, String key) {
        return claims.find(customer, key);
    }
}
