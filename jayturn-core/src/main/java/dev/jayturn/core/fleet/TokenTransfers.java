package dev.jayturn.core.fleet;

import dev.jayturn.core.random.RandomSource;
import dev.jayturn.core.slice.HomeInstance;
import dev.jayturn.core.slice.SliceAccounts;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Transport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Moves tokens between entry instances, so that what is left serves whoever has callers while
 * control is out of reach. In each data centre one instance is the home of a customer's slice: the
 * others send it what their requests left over, so that tokens are found where they are asked for.
 * One round asks the own home first, then those of the other data centres one after the other until
 * there is enough.
 */
final class TokenTransfers {
    /** The home is asked again while the leader may be sending it more. */
    private static final int MAX_HOME_REQUESTS = 3;

    /** Covers the way to another region and back, in milliseconds. */
    private static final long ANSWER_TIMEOUT_MILLIS = 75;

    /** After a round that found too little, nobody is asked again for this time. */
    private static final long ROUND_BACKOFF_MILLIS = 250;

    private final String self;
    private final String dataCentre;
    private final SliceAccounts slices;
    private final Transport transport;
    private final TimerService timers;
    private final RandomSource random;
    private final Runnable onTokensChange;
    private final Map<String, Round> rounds = new HashMap<>();
    private final Map<String, String> holderByAddress = new HashMap<>();
    private final Map<String, String> homeByCustomer = new HashMap<>();
    private Map<String, List<String>> addressesByDataCentre = Map.of();

    private final class Round {
        final String customer;
        final List<String> remainingHomes;
        final String home;
        int homeRequestsLeft;
        long tokens;
        boolean finished;
        long backoffStartMillis;
        int step;

        Round(String customer, long tokens, boolean leaderHelps) {
            this.customer = customer;
            this.tokens = tokens;
            this.home = homeOf(customer);
            this.remainingHomes = new ArrayList<>();
            addressesByDataCentre.forEach(
                    (place, addresses) -> {
                        if (!place.equals(dataCentre)) {
                            remainingHomes.add(HomeInstance.of(customer, addresses));
                        }
                    });
            boolean other = !home.isEmpty() && !home.equals(self);
            this.homeRequestsLeft = !other ? 0 : leaderHelps ? MAX_HOME_REQUESTS : 1;
        }
    }

    TokenTransfers(
            String self,
            String dataCentre,
            SliceAccounts slices,
            Transport transport,
            TimerService timers,
            RandomSource random,
            Runnable onTokens) {
        this.self = self;
        this.dataCentre = dataCentre;
        this.slices = slices;
        this.transport = transport;
        this.timers = timers;
        this.random = random;
        this.onTokensChange = onTokens;
    }

    void setPeers(List<Peer> peers) {
        homeByCustomer.clear();
        addressesByDataCentre = new TreeMap<>();
        for (Peer peer : peers) {
            addressesByDataCentre
                    .computeIfAbsent(peer.dataCentre(), d -> new ArrayList<>())
                    .add(peer.address());
            holderByAddress.put(peer.address(), peer.holder());
        }
    }

    private String homeOf(String customer) {
        return homeByCustomer.computeIfAbsent(
                customer,
                c -> HomeInstance.of(c, addressesByDataCentre.getOrDefault(dataCentre, List.of())));
    }

    /** Returns whether this instance keeps its data centre's slice of a customer's budget. */
    boolean isHome(String customer) {
        String home = homeOf(customer);
        return home.isEmpty() || home.equals(self);
    }

    /**
     * Gives the homes what requests left over here.
     *
     * @param leaderHelps whether tokens issued here, before another became the home, can go back
     */
    void sendSurplusToHomes(String holder, boolean leaderHelps) {
        for (String customer : slices.customersWithFreeTokens()) {
            String home = homeOf(customer);
            String homeHolder = holderByAddress.get(home);
            if (homeHolder == null || home.equals(self)) {
                continue;
            }
            long before = slices.transferredTo(customer, homeHolder);
            long total = slices.transferSurplus(customer, homeHolder);
            if (total > before) {
                transport.send(home, new TokenGive(holder, homeHolder, customer, total));
            }
            if (leaderHelps) {
                slices.returnFreeIssued(customer);
            }
        }
    }

    /**
     * Starts or widens a round.
     *
     * @param leaderHelps whether the leader may send the home more meanwhile
     * @return whether the others may still help
     */
    boolean request(String holder, String customer, long tokens, boolean leaderHelps) {
        Round round = rounds.get(customer);
        if (round != null && !round.finished) {
            round.tokens = Math.max(round.tokens, tokens);
            return true;
        }
        if (round != null && timers.nowMillis() - round.backoffStartMillis < ROUND_BACKOFF_MILLIS) {
            return false;
        }
        Round started = new Round(customer, tokens, leaderHelps);
        rounds.put(customer, started);
        askNext(started, holder, 0);
        return !started.finished;
    }

    private void askNext(Round round, String holder, int step) {
        if (round.finished || round.step != step) {
            return;
        }
        boolean enough = slices.hasFree(round.customer, round.tokens);
        if (enough || (round.remainingHomes.isEmpty() && round.homeRequestsLeft == 0)) {
            round.finished = true;
            round.backoffStartMillis = enough ? Long.MIN_VALUE / 2 : timers.nowMillis();
            onTokensChange.run();
            return;
        }
        round.step++;
        boolean asksHome = round.homeRequestsLeft > 0;
        String peer =
                asksHome
                        ? round.home
                        : round.remainingHomes.remove(random.nextInt(round.remainingHomes.size()));
        if (asksHome) {
            round.homeRequestsLeft--;
        }
        transport.send(peer, new TokenAsk(self, holder, round.customer, round.tokens, !asksHome));
        int following = round.step;
        timers.schedule(ANSWER_TIMEOUT_MILLIS, () -> askNext(round, holder, following));
    }

    void onTokenAsk(TokenAsk ask, String holder) {
        holderByAddress.put(ask.from(), ask.holder());
        long total =
                slices.transferRequested(ask.customer(), ask.tokens(), ask.partly(), ask.holder());
        transport.send(ask.from(), new TokenGive(holder, ask.holder(), ask.customer(), total));
    }

    void onTokenGive(TokenGive give, String holder) {
        if (!give.toHolder().equals(holder)) {
            return;
        }
        slices.receiveTransfer(give.fromHolder(), give.customer(), give.givenTotal());
        Round round = rounds.get(give.customer());
        boolean asksAgain =
                round != null
                        && round.homeRequestsLeft > 0
                        && !slices.hasFree(round.customer, round.tokens);
        if (round != null && !asksAgain) {
            askNext(round, holder, round.step);
        }
        onTokensChange.run();
    }
}
