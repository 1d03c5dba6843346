package dev.jayturn.core.request;

import dev.jayturn.core.budget.IntentAnswer;
import dev.jayturn.core.budget.IntentSettled;
import dev.jayturn.core.budget.Registered;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** An entry instance's links to its ledgers, the nearest first. */
final class LedgerClient {
    private static final long REGISTER_INTERVAL_MILLIS = 1_000;

    private final List<LedgerLink> links = new ArrayList<>();
    private final Map<String, LedgerLink> linkByIntent = new HashMap<>();

    LedgerClient(
            String instance,
            long incarnation,
            List<String> ledgers,
            Transport transport,
            TimerService timers) {
        for (String ledger : ledgers) {
            links.add(new LedgerLink(ledger, instance, incarnation, transport, timers));
        }
        timers.every(REGISTER_INTERVAL_MILLIS, this::registerAll);
    }

    private void registerAll() {
        for (LedgerLink link : links) {
            link.register();
        }
    }

    /** Returns the nearest usable ledger that was not tried yet, or null if there is none. */
    @Nullable LedgerLink chooseLedger(Set<String> tried) {
        for (LedgerLink link : links) {
            if (link.isUsable() && !tried.contains(link.ledger())) {
                return link;
            }
        }
        return null;
    }

    boolean hasUsableLedger() {
        return chooseLedger(Set.of()) != null;
    }

    boolean isIdle() {
        for (LedgerLink link : links) {
            if (!link.isIdle()) {
                return false;
            }
        }
        return true;
    }

    /** Records the ledger at which an intent is opened, so that it is settled there. */
    void bind(String intentId, LedgerLink link) {
        linkByIntent.put(intentId, link);
    }

    void settle(String intentId, long tokens) {
        LedgerLink link = linkByIntent.remove(intentId);
        if (link != null) {
            link.settle(intentId, tokens);
        }
    }

    void abandon(String intentId) {
        LedgerLink link = linkByIntent.remove(intentId);
        if (link != null) {
            link.abandon(intentId);
        }
    }

    /** Removes the record of an intent that could not be opened. */
    void unbind(String intentId) {
        linkByIntent.remove(intentId);
    }

    void handle(Message message) {
        for (LedgerLink link : links) {
            if (message instanceof Registered reply && isFrom(reply.ledger(), link)) {
                link.handle(reply);
            } else if (message instanceof IntentAnswer reply && isFrom(reply.ledger(), link)) {
                link.handle(reply);
            } else if (message instanceof IntentSettled reply && isFrom(reply.ledger(), link)) {
                link.handle(reply);
            }
        }
    }

    /** Compares by name: a link has only the instance's name, a ledger's id is name#store. */
    private static boolean isFrom(String ledgerId, LedgerLink link) {
        return ledgerId.startsWith(link.ledger() + "#");
    }
}
