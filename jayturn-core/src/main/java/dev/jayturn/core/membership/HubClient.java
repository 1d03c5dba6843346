package dev.jayturn.core.membership;

import dev.jayturn.core.rules.RuleSet;
import dev.jayturn.core.rules.RulesUpdate;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import java.util.List;

/**
 * An instance's side of membership and configuration: it subscribes to the first control instance
 * of its list that answers and passes upstreams' announcements on to it.
 */
public final class HubClient {
    private static final long SUBSCRIBE_INTERVAL_MILLIS = 1_000;
    private static final int MAX_MISSED_ANSWERS = 3;

    private final String instance;
    private final String dataCentre;
    private final List<String> hubs;
    private final List<String> peers;
    private final MembersView members;
    private final Transport transport;
    private RuleSet rules = RuleSet.EMPTY;
    private int hubIndex;
    private int missedAnswers;
    private boolean synced;

    /**
     * Starts to subscribe.
     *
     * @param hubs control instances, the nearest first
     * @param peers the data centre's other instances, told of announcements while no hub answers
     */
    public HubClient(
            String instance,
            String dataCentre,
            List<String> hubs,
            List<String> peers,
            MembersView members,
            Transport transport,
            TimerService timers) {
        this.instance = instance;
        this.dataCentre = dataCentre;
        this.hubs = List.copyOf(hubs);
        this.peers = List.copyOf(peers);
        this.members = members;
        this.transport = transport;
        timers.schedule(0, this::subscribe);
        timers.every(SUBSCRIBE_INTERVAL_MILLIS, this::subscribe);
    }

    /** Returns the rules in force here. */
    public RuleSet rules() {
        return rules;
    }

    /** Returns whether this instance holds what its hub held when it first answered. */
    public boolean isSynced() {
        return synced;
    }

    /** Returns the control instance that is used now. */
    public String hub() {
        return hubs.get(hubIndex);
    }

    private void subscribe() {
        if (missedAnswers >= MAX_MISSED_ANSWERS) {
            missedAnswers = 0;
            hubIndex = (hubIndex + 1) % hubs.size();
        }
        missedAnswers++;
        subscribeTo(hub());
        for (int nearer = 0; nearer < hubIndex; nearer++) {
            // One that answers again is used again.
            subscribeTo(hubs.get(nearer));
        }
    }

    private void subscribeTo(String name) {
        transport.send(
                name,
                new Subscribe(
                        instance, dataCentre, rules.version(), members.epoch(), members.version()));
    }

    private void onAnswer(String name) {
        int index = hubs.indexOf(name);
        if (index >= 0 && index <= hubIndex) {
            hubIndex = index;
            missedAnswers = 0;
        }
    }

    /** Handles a message; other kinds are ignored. */
    public void handle(Message message) {
        if (message instanceof HubStatus status) {
            onAnswer(status.hub());
            if (rules.version() >= status.rulesVersion()) {
                synced = true;
            }
        } else if (message instanceof RulesUpdate update) {
            applyRules(update);
        } else if (message instanceof MembersUpdate update) {
            members.apply(update);
        } else if (message instanceof Announce announce) {
            members.applyAnnouncement(announce);
        }
    }

    /** Takes an upstream's announcement made at this instance. */
    public void publish(Announce announce) {
        members.applyAnnouncement(announce);
        transport.send(hub(), announce);
        if (missedAnswers > 1) {
            for (String peer : peers) {
                transport.send(peer, announce);
            }
        }
    }

    /** Applies a step that follows the version in force; a version never goes back. */
    private void applyRules(RulesUpdate update) {
        boolean follows = update.fromVersion() == 0 || update.fromVersion() == rules.version();
        if (!follows || update.toVersion() <= rules.version()) {
            return;
        }
        RuleSet base = update.fromVersion() == 0 ? RuleSet.EMPTY : rules;
        rules = base.withDelta(update.toVersion(), update.delta());
        synced = true;
    }
}
