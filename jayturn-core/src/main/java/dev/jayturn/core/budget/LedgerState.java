package dev.jayturn.core.budget;

import dev.jayturn.core.journal.JournalRecord;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** A ledger's state, built from its journal: accounts, open intents, bills and incarnations. */
public final class LedgerState {
    /** Maximum number of bills kept for look-up; the account totals include evicted ones, too. */
    static final int MAX_BILLS = 100_000;

    private final Map<String, Account> accounts = new HashMap<>();
    private final Map<String, IntentOpened> openIntents = new LinkedHashMap<>();
    private final Map<String, Bill> bills = new BoundedMap<>(MAX_BILLS);
    private final Map<String, String> billedKeys = new BoundedMap<>(MAX_BILLS);
    private final Map<String, KeyedBill> uncomparedBills = new LinkedHashMap<>();
    private final Map<String, Long> currentIncarnations = new TreeMap<>();
    private final Map<String, Long> sealedIncarnations = new TreeMap<>();
    private long grantIndex;

    /** Applies a journal record, both when it is written and on recovery. */
    public void apply(JournalRecord entry) {
        if (entry instanceof IntentOpened opened) {
            openIntents.put(opened.intentId(), opened);
            account(opened.budget()).reserve(opened.reserve());
        } else if (entry instanceof IntentClosed closed) {
            settleIntent(closed);
        } else if (entry instanceof GrantNoted grant) {
            account(grant.budget()).recordGrant(grant.total());
            grantIndex = Math.max(grantIndex, grant.index());
        } else if (entry instanceof ShareSent sent) {
            account(sent.budget()).recordSent(sent.to(), sent.total());
        } else if (entry instanceof ShareTaken taken) {
            account(taken.budget()).recordReceived(taken.from(), taken.total());
        } else if (entry instanceof IncarnationStarted started) {
            currentIncarnations.put(started.instance(), started.incarnation());
        } else if (entry instanceof IncarnationSealed sealed) {
            sealedIncarnations.merge(sealed.instance(), sealed.incarnation(), Math::max);
        } else if (entry instanceof AccountTotals totals) {
            account(totals.budget()).addSpent(totals.spent());
        } else if (entry instanceof Bill bill) {
            addBill(bill);
        } else if (entry instanceof BillMet met) {
            uncomparedBills.remove(met.intentId());
        } else if (entry instanceof BillRepeated repeated) {
            voidBill(repeated.intentId());
        }
    }

    /** Returns records that rebuild this state. */
    public List<JournalRecord> snapshot() {
        List<JournalRecord> records = new ArrayList<>();
        accounts.forEach((budget, account) -> addAccountRecords(records, budget, account));
        currentIncarnations.forEach((i, n) -> records.add(new IncarnationStarted(i, n)));
        sealedIncarnations.forEach((i, n) -> records.add(new IncarnationSealed(i, n)));
        for (Bill bill : bills.values()) {
            records.add(bill);
            if (!uncomparedBills.containsKey(bill.intentId())) {
                records.add(new BillMet(bill.intentId()));
            }
        }
        records.addAll(openIntents.values());
        return records;
    }

    private void addAccountRecords(List<JournalRecord> records, String budget, Account account) {
        if (account.granted() > 0) {
            records.add(new GrantNoted(budget, account.granted(), grantIndex));
        }
        account.sent().forEach((to, total) -> records.add(new ShareSent(budget, to, total)));
        account.received()
                .forEach((from, total) -> records.add(new ShareTaken(budget, from, total)));
        if (account.spent() > 0) {
            records.add(new AccountTotals(budget, account.spent()));
        }
    }

    private void settleIntent(IntentClosed closed) {
        IntentOpened opened = openIntents.remove(closed.intentId());
        if (opened == null) {
            return;
        }
        long used = Math.min(Math.max(closed.tokens(), 0), opened.reserve());
        boolean repeat = used > 0 && isBilled(opened);
        long billed = repeat ? 0 : used;
        account(opened.budget()).settle(opened.reserve(), billed);
        addBill(
                new Bill(
                        opened.intentId(),
                        opened.customer(),
                        opened.budget(),
                        billed,
                        used - billed,
                        opened.key()));
    }

    /** Voids a bill and refunds its tokens; the bill is kept and lists them as unbilled. */
    private void voidBill(String intentId) {
        uncomparedBills.remove(intentId);
        Bill bill = bills.get(intentId);
        if (bill == null || bill.tokens() == 0) {
            return;
        }
        account(bill.budget()).addSpent(-bill.tokens());
        bills.put(
                intentId,
                new Bill(
                        intentId,
                        bill.customer(),
                        bill.budget(),
                        0,
                        bill.repeated() + bill.tokens(),
                        bill.key()));
    }

    /** Returns keyed bills that the control log has not yet compared with those of all ledgers. */
    List<KeyedBill> uncomparedBills(int limit) {
        List<KeyedBill> uncompared = new ArrayList<>();
        for (KeyedBill bill : uncomparedBills.values()) {
            if (uncompared.size() == limit) {
                break;
            }
            uncompared.add(bill);
        }
        return uncompared;
    }

    private boolean isBilled(IntentOpened opened) {
        return !opened.key().isEmpty()
                && billedKeys.containsKey(opened.customer() + "/" + opened.key());
    }

    private void addBill(Bill bill) {
        bills.put(bill.intentId(), bill);
        if (bill.tokens() > 0 && !bill.key().isEmpty()) {
            String key = bill.customer() + "/" + bill.key();
            billedKeys.put(key, bill.intentId());
            uncomparedBills.put(bill.intentId(), new KeyedBill(bill.intentId(), key));
        }
    }

    Account account(String budget) {
        return accounts.computeIfAbsent(budget, b -> new Account());
    }

    /** Returns the open intent; null if it is unknown or closed. */
    public @Nullable IntentOpened findOpen(String intentId) {
        return openIntents.get(intentId);
    }

    /** Returns the bill of a closed intent; null if it is unknown or was evicted. */
    public @Nullable Bill findBill(String intentId) {
        return bills.get(intentId);
    }

    /** Returns the bills that are kept for look-up, oldest first. */
    public Collection<Bill> bills() {
        return bills.values();
    }

    /** Returns the open intents, oldest first. */
    public Collection<IntentOpened> openIntents() {
        return openIntents.values();
    }

    /** Returns the names of the budgets that have an account at this ledger. */
    public Collection<String> budgets() {
        return accounts.keySet();
    }

    /** Returns the tokens of a budget that are neither reserved nor spent. */
    public long available(String budget) {
        Account account = accounts.get(budget);
        return account == null ? 0 : account.available();
    }

    /** Returns the tokens of a budget that are reserved for open intents. */
    public long reserved(String budget) {
        Account account = accounts.get(budget);
        return account == null ? 0 : account.reserved();
    }

    /** Returns the tokens of a budget that were billed at this ledger. */
    public long spent(String budget) {
        Account account = accounts.get(budget);
        return account == null ? 0 : account.spent();
    }

    /** Returns the control log index up to which all grants are recorded. */
    public long grantIndex() {
        return grantIndex;
    }

    long currentIncarnation(String instance) {
        return currentIncarnations.getOrDefault(instance, 0L);
    }

    Map<String, Long> currentIncarnations() {
        return currentIncarnations;
    }

    /** Returns whether an incarnation may no longer open intents. */
    public boolean isSealed(String instance, long incarnation) {
        return incarnation <= sealedIncarnations.getOrDefault(instance, 0L);
    }
}
