package dev.jayturn.core.membership;

import dev.jayturn.core.rules.RuleSet;
import dev.jayturn.core.rules.RulesUpdate;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import java.util.List;

/**
 * The client of the membership hubs on an instance: subscribes to membership and rules at the first
 * control instance in its list that answers, and forwards upstreams' announcements to it.
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
     * Creates a client and starts to subscribe.
     *
     * @param hubs control instances, the nearest first
     * @param peers the other instances of the data centre, which receive announcements while no hub
     *     answers
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

    /** Returns the rules in force on this instance. */
    public RuleSet rules() {
        return rules;
    }

    /** Returns whether this instance has caught up with the rules of a hub since its start. */
    public boolean isSynced() {
        return synced;
    }

    /** Returns the control instance in use. */
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
        for (int nearerIndex = 0; nearerIndex < hubIndex; nearerIndex++) {
            // The client switches back to a nearer hub that answers again.
            subscribeTo(hubs.get(nearerIndex));
        }
    }

    private void subscribeTo(String hubName) {
        transport.send(
                hubName,
                new Subscribe(
                        instance, dataCentre, rules.version(), members.epoch(), members.version()));
    }

    private void onAnswer(String hubName) {
        int index = hubs.indexOf(hubName);
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

    /**
     * Applies an announcement that an upstream made at this instance and forwards it to the hub,
     * and to the peers while the hub does not answer.
     */
    public void publish(Announce announce) {
        members.applyAnnouncement(announce);
        transport.send(hub(), announce);
        if (missedAnswers > 1) {
            for (String peer : peers) {
                transport.send(peer, announce);
            }
        }
    }

    /** Applies an update that follows the version in force; versions never decrease. */
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
