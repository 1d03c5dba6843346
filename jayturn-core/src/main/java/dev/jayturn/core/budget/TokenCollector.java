package dev.jayturn.core.budget;

import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.timer.Cancellable;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Transport;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Collects tokens for intents that the available tokens do not cover. Each budget has at most one
 * round at a time, which asks every other ledger and the control log for tokens. An intent is
 * refused only once all of them have answered or the round has timed out.
 */
final class TokenCollector {
    private final LedgerConfig config;
    private final LedgerState state;
    private final Transport transport;
    private final TimerService timers;
    private final Consumer<OpenIntent> onTokensAvailable;
    private final Map<String, Round> roundsByBudget = new HashMap<>();
    private List<String> peers = List.of();
    private long lastRoundNumber;

    TokenCollector(
            LedgerConfig config,
            LedgerState state,
            Transport transport,
            TimerService timers,
            Consumer<OpenIntent> onTokensAvailable) {
        this.config = config;
        this.state = state;
        this.transport = transport;
        this.timers = timers;
        this.onTokensAvailable = onTokensAvailable;
    }

    void setPeers(List<String> ledgers) {
        peers = List.copyOf(ledgers);
    }

    void enqueue(OpenIntent open) {
        Round round = roundsByBudget.get(open.budget());
        if (round == null) {
            round = new Round(open.budget());
            roundsByBudget.put(open.budget(), round);
            round.waiting.add(open);
            round.start();
            return;
        }
        // A repeated message of an intent that already waits has no effect.
        if (!round.contains(open.intentId())) {
            round.waitingForNextRound.add(open);
        }
    }

    void remove(String intentId) {
        for (Round round : roundsByBudget.values()) {
            round.waiting.removeIf(open -> open.intentId().equals(intentId));
            round.waitingForNextRound.removeIf(open -> open.intentId().equals(intentId));
        }
    }

    void onAnswer(String budget, String from, long roundNumber) {
        Round round = roundsByBudget.get(budget);
        if (round == null) {
            return;
        }
        round.openCoveredIntents();
        if (round.number == roundNumber) {
            round.unanswered.remove(from);
        }
        round.finishIfDone();
    }

    void onControlAnswer(GrantTotals totals) {
        for (Round round : new ArrayList<>(roundsByBudget.values())) {
            onAnswer(round.budget, config.controlInstance(), totals.round());
        }
    }

    private final class Round {
        private final String budget;
        private final Deque<OpenIntent> waiting = new ArrayDeque<>();
        private final List<OpenIntent> waitingForNextRound = new ArrayList<>();
        private final Set<String> unanswered = new HashSet<>();
        private Cancellable timeout = () -> {};
        private long number;

        Round(String budget) {
            this.budget = budget;
        }

        boolean contains(String intentId) {
            return containsIntent(waiting, intentId)
                    || containsIntent(waitingForNextRound, intentId);
        }

        private boolean containsIntent(Iterable<OpenIntent> intents, String intentId) {
            for (OpenIntent open : intents) {
                if (open.intentId().equals(intentId)) {
                    return true;
                }
            }
            return false;
        }

        void start() {
            number = ++lastRoundNumber;
            unanswered.clear();
            unanswered.addAll(peers);
            unanswered.add(config.controlInstance());
            timeout = timers.schedule(timeoutMillis(), this::onTimeout);
            ShareAsk ask = new ShareAsk(budget, shortfall(), config.id(), number);
            for (String peer : peers) {
                transport.send(peer, ask);
            }
            GrantPull pull = new GrantPull(config.id(), state.grantIndex(), number);
            transport.send(config.controlInstance(), pull);
        }

        private long timeoutMillis() {
            long wait = config.askTimeoutMillis();
            for (OpenIntent open : waiting) {
                wait = Math.min(wait, open.waitMillis());
            }
            return Math.max(wait, 1);
        }

        private long shortfall() {
            long need = 0;
            for (OpenIntent open : waiting) {
                need += open.reserve();
            }
            return need - state.available(budget);
        }

        void openCoveredIntents() {
            Iterator<OpenIntent> intents = waiting.iterator();
            while (intents.hasNext()) {
                OpenIntent open = intents.next();
                if (state.available(budget) >= open.reserve()) {
                    intents.remove();
                    onTokensAvailable.accept(open);
                }
            }
        }

        void finishIfDone() {
            if (unanswered.isEmpty()) {
                finish(ResultCode.BUDGET_SPENT);
            } else if (waiting.isEmpty()) {
                // No intent is left to refuse, so this code is not sent to any instance.
                finish(ResultCode.OK);
            }
        }

        private void onTimeout() {
            openCoveredIntents();
            finish(ResultCode.BUDGET_UNREACHABLE);
        }

        private void finish(ResultCode refusal) {
            timeout.cancel();
            for (OpenIntent open : waiting) {
                transport.send(
                        open.instance(), new IntentAnswer(config.id(), open.intentId(), refusal));
            }
            waiting.clear();
            waiting.addAll(waitingForNextRound);
            waitingForNextRound.clear();
            openCoveredIntents();
            if (waiting.isEmpty()) {
                roundsByBudget.remove(budget);
            } else {
                start();
            }
        }
    }
}
