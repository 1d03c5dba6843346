package dev.jayturn.core.fleet;

import dev.jayturn.core.random.RandomSource;
import dev.jayturn.core.slice.SliceAccounts;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Transport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Moves tokens between entry instances, so that what is left serves whoever has callers while
 * control is out of reach. One round asks the others one after the other until there is enough.
 */
final class PeerTokens {
    /** Covers the way to another region and back, in milliseconds. */
    private static final long ANSWER_MILLIS = 75;

    /** After a round that found too little, nobody is asked again for this time. */
    private static final long PAUSE_MILLIS = 1_000;

    private final String self;
    private final SliceAccounts slices;
    private final Transport transport;
    private final TimerService timers;
    private final RandomSource random;
    private final Runnable onTokens;
    private final Map<String, Round> rounds = new HashMap<>();
    private List<String> peers = List.of();

    private final class Round {
        final String customer;
        final List<String> left;
        long tokens;
        boolean over;
        long overMillis;
        int step;

        Round(String customer, long tokens) {
            this.customer = customer;
            this.tokens = tokens;
            this.left = new ArrayList<>(peers);
        }
    }

    PeerTokens(
            String self,
            SliceAccounts slices,
            Transport transport,
            TimerService timers,
            RandomSource random,
            Runnable onTokens) {
        this.self = self;
        this.slices = slices;
        this.transport = transport;
        this.timers = timers;
        this.random = random;
        this.onTokens = onTokens;
    }

    void setPeers(List<String> addresses) {
        List<String> others = new ArrayList<>(addresses);
        others.remove(self);
        peers = others;
    }

    /** Starts or widens a round; returns whether the others may still help. */
    boolean request(String holder, String customer, long tokens) {
        Round round = rounds.get(customer);
        if (round != null && !round.over) {
            round.tokens = Math.max(round.tokens, tokens);
            return true;
        }
        if (round != null && timers.nowMillis() - round.overMillis < PAUSE_MILLIS) {
            return false;
        }
        Round started = new Round(customer, tokens);
        rounds.put(customer, started);
        next(started, holder, 0);
        return !started.over;
    }

    private void next(Round round, String holder, int step) {
        if (round.over || round.step != step) {
            return;
        }
        boolean enough = slices.hasFree(round.customer, round.tokens);
        if (enough || round.left.isEmpty()) {
            round.over = true;
            round.overMillis = enough ? Long.MIN_VALUE / 2 : timers.nowMillis();
            onTokens.run();
            return;
        }
        round.step++;
        String peer = round.left.remove(random.nextInt(round.left.size()));
        transport.send(peer, new TokenAsk(self, holder, round.customer, round.tokens));
        int following = round.step;
        timers.schedule(ANSWER_MILLIS, () -> next(round, holder, following));
    }

    void onAsk(TokenAsk ask, String holder) {
        long total = slices.give(ask.customer(), ask.tokens(), ask.holder());
        transport.send(ask.from(), new TokenGive(holder, ask.holder(), ask.customer(), total));
    }

    void onGive(TokenGive give, String holder) {
        if (!give.toHolder().equals(holder)) {
            return;
        }
        slices.receive(give.fromHolder(), give.customer(), give.givenTotal());
        Round round = rounds.get(give.customer());
        if (round != null) {
            next(round, holder, round.step);
        }
        onTokens.run();
    }
}
