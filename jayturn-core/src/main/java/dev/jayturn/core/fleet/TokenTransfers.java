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
 * Transfers tokens between entry instances, so that the remaining tokens can serve requests at any
 * of them while the control instances are unreachable. In each data centre one instance is the home
 * of a customer's slice: the others send it their surplus tokens, so that requests for tokens find
 * them there. A round of requests asks the home of this data centre first, then those of the other
 * data centres one after the other until there are enough tokens.
 */
final class TokenTransfers {
    /** Limit of requests to the home in one round while the leader may send it more tokens. */
    private static final int MAX_HOME_REQUESTS = 3;

    /** Time to wait for an answer; covers the round trip to another region. */
    private static final long ANSWER_TIMEOUT_MILLIS = 75;

    /** No other round starts for this time after one that found too few tokens. */
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

        /** Tokens for which further requests came during this round. */
        long laterTokens;

        boolean isLeaderReachable;

        /** Whether the tokens are for several requests, so that a part of them is of use, too. */
        final boolean isForSeveral;

        boolean finished;
        long backoffStartMillis;

        /** Shows whether a timer belongs to the last request; earlier timers have no effect. */
        int requestsSent;

        Round(String customer, long tokens, boolean isLeaderReachable, boolean isForSeveral) {
            this.isForSeveral = isForSeveral;
            this.customer = customer;
            this.tokens = tokens;
            this.isLeaderReachable = isLeaderReachable;
            this.home = homeOf(customer);
            this.remainingHomes = new ArrayList<>();
            addressesByDataCentre.forEach(
                    (otherDataCentre, addresses) -> {
                        if (!otherDataCentre.equals(dataCentre)) {
                            remainingHomes.add(HomeInstance.of(customer, addresses));
                        }
                    });
            boolean hasOtherHome = !home.isEmpty() && !home.equals(self);
            this.homeRequestsLeft = !hasOtherHome ? 0 : isLeaderReachable ? MAX_HOME_REQUESTS : 1;
        }
    }

    TokenTransfers(
            String self,
            String dataCentre,
            SliceAccounts slices,
            Transport transport,
            TimerService timers,
            RandomSource random,
            Runnable onTokensChange) {
        this.self = self;
        this.dataCentre = dataCentre;
        this.slices = slices;
        this.transport = transport;
        this.timers = timers;
        this.random = random;
        this.onTokensChange = onTokensChange;
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

    /**
     * Returns whether this instance is the home of a customer's slice; also true while no instance
     * of its data centre is known.
     */
    boolean isHome(String customer) {
        String home = homeOf(customer);
        return home.isEmpty() || home.equals(self);
    }

    /**
     * Sends surplus tokens to the homes.
     *
     * @param isLeaderReachable whether tokens that were issued to this instance before another one
     *     became the home can be returned to the leader
     */
    void sendSurplusToHomes(String holder, boolean isLeaderReachable) {
        for (String customer : slices.customersWithFreeTokens()) {
            String home = homeOf(customer);
            String homeHolder = holderByAddress.get(home);
            if (homeHolder == null || home.equals(self)) {
                continue;
            }
            long totalBefore = slices.transferredTo(customer, homeHolder);
            long total = slices.transferSurplus(customer, homeHolder);
            if (total > totalBefore) {
                transport.send(home, new TokenGive(holder, homeHolder, customer, total));
            }
            if (isLeaderReachable) {
                slices.returnFreeIssued(customer);
            }
        }
    }

    /**
     * Starts a round of requests, or raises the amount of the one in progress. A round that finds
     * its tokens is followed by one for the requests that came meanwhile: a busy instance would
     * otherwise get the tokens of one request for each round, however many wait.
     *
     * @param isLeaderReachable whether the leader may send more tokens to the home meanwhile
     * @return whether a round is in progress
     */
    boolean request(String holder, String customer, long tokens, boolean isLeaderReachable) {
        Round round = rounds.get(customer);
        if (round != null && !round.finished) {
            round.tokens = Math.max(round.tokens, tokens);
            round.laterTokens += tokens;
            round.isLeaderReachable = isLeaderReachable;
            return true;
        }
        if (round != null && timers.nowMillis() - round.backoffStartMillis < ROUND_BACKOFF_MILLIS) {
            return false;
        }
        Round newRound = new Round(customer, tokens, isLeaderReachable, false);
        rounds.put(customer, newRound);
        askNext(newRound, holder, 0);
        return !newRound.finished;
    }

    private void askForLaterRequests(Round previous, String holder) {
        Round next =
                new Round(
                        previous.customer, previous.laterTokens, previous.isLeaderReachable, true);
        rounds.put(previous.customer, next);
        askNext(next, holder, 0);
    }

    private void askNext(Round round, String holder, int requestsSent) {
        if (round.finished || round.requestsSent != requestsSent) {
            return;
        }
        boolean hasEnough = slices.canReserve(round.customer, round.tokens);
        if (hasEnough || (round.remainingHomes.isEmpty() && round.homeRequestsLeft == 0)) {
            round.finished = true;
            // What a round for several requests has found does for some of them.
            boolean foundNothing = !hasEnough && !round.isForSeveral;
            round.backoffStartMillis = foundNothing ? timers.nowMillis() : Long.MIN_VALUE / 2;
            if (hasEnough && round.laterTokens > 0) {
                askForLaterRequests(round, holder);
            }
            onTokensChange.run();
            return;
        }
        round.requestsSent++;
        boolean isHomeNext = round.homeRequestsLeft > 0;
        String peer =
                isHomeNext
                        ? round.home
                        : round.remainingHomes.remove(random.nextInt(round.remainingHomes.size()));
        if (isHomeNext) {
            round.homeRequestsLeft--;
        }
        boolean partly = !isHomeNext || round.isForSeveral;
        transport.send(peer, new TokenAsk(self, holder, round.customer, round.tokens, partly));
        int requestsSentNow = round.requestsSent;
        timers.schedule(ANSWER_TIMEOUT_MILLIS, () -> askNext(round, holder, requestsSentNow));
    }

    void onTokenAsk(TokenAsk ask, String holder) {
        holderByAddress.put(ask.from(), ask.holder());
        long total =
                slices.transferOnRequest(ask.customer(), ask.tokens(), ask.partly(), ask.holder());
        transport.send(ask.from(), new TokenGive(holder, ask.holder(), ask.customer(), total));
    }

    void onTokenGive(TokenGive give, String holder) {
        if (!give.toHolder().equals(holder)) {
            return;
        }
        slices.receiveTransfer(give.fromHolder(), give.customer(), give.givenTotal());
        Round round = rounds.get(give.customer());
        boolean waitsToRetryHome =
                round != null
                        && round.homeRequestsLeft > 0
                        && !slices.canReserve(round.customer, round.tokens);
        if (round != null && !waitsToRetryHome) {
            askNext(round, holder, round.requestsSent);
        }
        onTokensChange.run();
    }
}
