package dev.jayturn.core.loadview;

import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Transport;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Adds up the reports of the rounds that this instance holds, and sends the sums to the instances
 * that reported. What it keeps is of no use after the round, so nothing is lost with it but that
 * round.
 */
final class LoadHolder {
    /** Covers the way from another region and back to the next holder. */
    static final long WINDOW_MILLIS = 70;

    /** Later reports of a round are no longer answered. */
    private static final long ROUND_TIMEOUT_MILLIS = 400;

    private static final int MAX_ROUNDS = 256;

    private final Transport transport;
    private final TimerService timers;
    private final Supplier<UpstreamGroups> groups;
    private final Map<RoundKey, Round> rounds = new HashMap<>();
    private long newestRound;

    private record RoundKey(int group, int parts, long round) {}

    private static final class Round {
        final Map<String, WorkReport> reports = new LinkedHashMap<>();
        boolean sent;
    }

    LoadHolder(Transport transport, TimerService timers, Supplier<UpstreamGroups> groups) {
        this.transport = transport;
        this.timers = timers;
        this.groups = groups;
    }

    /** Adds a report to its round; a second one of the same instance replaces the first. */
    void onReport(WorkReport report, long ownRound) {
        newestRound = Math.max(Math.max(newestRound, ownRound), report.round());
        RoundKey key = new RoundKey(report.group(), report.parts(), report.round());
        Round round = rounds.get(key);
        if (round == null) {
            if (rounds.size() >= MAX_ROUNDS) {
                return;
            }
            Round added = new Round();
            rounds.put(key, added);
            round = added;
            timers.schedule(WINDOW_MILLIS, () -> send(key, added));
            timers.schedule(ROUND_TIMEOUT_MILLIS, () -> rounds.remove(key));
        }
        round.reports.put(report.from(), report);
        if (round.sent) {
            new Sums(key, round).sendTo(report);
        }
    }

    private void send(RoundKey key, Round round) {
        round.sent = true;
        Sums sums = new Sums(key, round);
        round.reports.values().forEach(sums::sendTo);
    }

    /** The sums of a round, encoded once for all receivers that know the same upstreams. */
    private final class Sums {
        private final RoundKey key;
        private final int reports;
        private final Map<Integer, Work> totals = new HashMap<>();
        private final Map<Integer, WorkSum> messagesByList = new HashMap<>();

        Sums(RoundKey key, Round round) {
            this.key = key;
            this.reports = round.reports.size();
            for (WorkReport report : round.reports.values()) {
                WorkCodec.decodeWithKeys(report.work())
                        .forEach((upstream, work) -> totals.merge(upstream, work, Work::plus));
            }
        }

        void sendTo(WorkReport receiver) {
            UpstreamGroups own = groups.get();
            boolean sameList =
                    own.parts() == key.parts()
                            && key.group() < own.parts()
                            && own.group(key.group()).list() == receiver.list();
            int list = sameList ? receiver.list() : 0;
            WorkSum sum =
                    messagesByList.computeIfAbsent(
                            list,
                            l ->
                                    new WorkSum(
                                            key.group(),
                                            key.parts(),
                                            key.round(),
                                            newestRound,
                                            l,
                                            reports,
                                            sameList
                                                    ? WorkCodec.encodeInOrder(
                                                            own.group(key.group()).keys(), totals)
                                                    : WorkCodec.encodeWithKeys(totals)));
            transport.send(receiver.from(), sum);
        }
    }
}
