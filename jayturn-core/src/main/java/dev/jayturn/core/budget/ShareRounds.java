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
 * Requests that wait while tokens are gathered. One round at a time per budget asks every other
 * ledger and the control log; a request is refused only once all have answered or its wait is over.
 */
final class ShareRounds {
    private final LedgerConfig config;
    private final LedgerState state;
    private final Transport transport;
    private final TimerService timers;
    private final Consumer<OpenIntent> opener;
    private final Map<String, Round> rounds = new HashMap<>();
    private List<String> peers = List.of();
    private long lastRound;

    ShareRounds(
            LedgerConfig config,
            LedgerState state,
            Transport transport,
            TimerService timers,
            Consumer<OpenIntent> opener) {
        this.config = config;
        this.state = state;
        this.transport = transport;
        this.timers = timers;
        this.opener = opener;
    }

    void setPeers(List<String> names) {
        peers = List.copyOf(names);
    }

    void await(OpenIntent open) {
        Round round = rounds.get(open.budget());
        if (round == null) {
            round = new Round(open.budget());
            rounds.put(open.budget(), round);
            round.waiting.add(open);
            round.start();
            return;
        }
        // A copy of a request that waits already changes nothing.
        if (!round.contains(open.intentId())) {
            round.late.add(open);
        }
    }

    void drop(String intentId) {
        for (Round round : rounds.values()) {
            round.waiting.removeIf(open -> open.intentId().equals(intentId));
            round.late.removeIf(open -> open.intentId().equals(intentId));
        }
    }

    void answered(String budget, String from, long number) {
        Round round = rounds.get(budget);
        if (round == null) {
            return;
        }
        round.serve();
        if (round.number == number) {
            round.silent.remove(from);
        }
        round.endIfAllAnswered();
    }

    void controlAnswered(GrantTotals totals) {
        for (Round round : new ArrayList<>(rounds.values())) {
            answered(round.budget, config.control(), totals.round());
        }
    }

    private final class Round {
        private final String budget;
        private final Deque<OpenIntent> waiting = new ArrayDeque<>();
        private final List<OpenIntent> late = new ArrayList<>();
        private final Set<String> silent = new HashSet<>();
        private Cancellable timeout = () -> {};
        private long number;

        Round(String budget) {
            this.budget = budget;
        }

        boolean contains(String intentId) {
            return isIn(waiting, intentId) || isIn(late, intentId);
        }

        private boolean isIn(Iterable<OpenIntent> opens, String intentId) {
            for (OpenIntent open : opens) {
                if (open.intentId().equals(intentId)) {
                    return true;
                }
            }
            return false;
        }

        void start() {
            number = ++lastRound;
            silent.clear();
            silent.addAll(peers);
            silent.add(config.control());
            timeout = timers.schedule(waitMillis(), this::timedOut);
            ShareAsk ask = new ShareAsk(budget, shortfall(), config.name(), number);
            for (String peer : peers) {
                transport.send(peer, ask);
            }
            GrantPull pull = new GrantPull(config.name(), state.grantIndex(), number);
            transport.send(config.control(), pull);
        }

        private long waitMillis() {
            long wait = config.askMillis();
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

        void serve() {
            Iterator<OpenIntent> opens = waiting.iterator();
            while (opens.hasNext()) {
                OpenIntent open = opens.next();
                if (state.available(budget) >= open.reserve()) {
                    opens.remove();
                    opener.accept(open);
                }
            }
        }

        void endIfAllAnswered() {
            if (silent.isEmpty()) {
                end(ResultCode.BUDGET_SPENT);
            } else if (waiting.isEmpty()) {
                end(ResultCode.OK);
            }
        }

        private void timedOut() {
            serve();
            end(ResultCode.BUDGET_UNREACHABLE);
        }

        private void end(ResultCode refusal) {
            timeout.cancel();
            for (OpenIntent open : waiting) {
                transport.send(
                        open.instance(), new IntentAnswer(config.name(), open.intentId(), refusal));
            }
            waiting.clear();
            waiting.addAll(late);
            late.clear();
            serve();
            if (waiting.isEmpty()) {
                rounds.remove(budget);
            } else {
                start();
            }
        }
    }
}
