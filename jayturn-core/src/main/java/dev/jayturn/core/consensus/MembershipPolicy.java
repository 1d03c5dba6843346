package dev.jayturn.core.consensus;

import dev.jayturn.core.transport.Addresses;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Decides which member the leader adds as a voter or removes next, so that the cluster bears as
 * many losses as its reachable members allow. A change differs in one member only.
 *
 * <p>Answers this pattern: an instance is lost for good and another one joins at a new address, or
 * at the same one with an empty disk, often several times in a row. A voter that stays in the list
 * after its loss raises the majority that the others need. A voter that is only cut off may be
 * removed too; when it returns it joins again as a learner.
 */
final class MembershipPolicy {
    /** With fewer voters a learner becomes one even if that makes their number even. */
    private static final int MIN_VOTERS = 3;

    private final long voterTimeoutMillis;
    private final long learnerTimeoutMillis;

    /**
     * What the leader knows of a member.
     *
     * @param caughtUp whether the member is connected and has nearly all entries
     * @param silentMillis time since its last reply; 0 for the leader itself
     */
    record Observation(Member member, boolean caughtUp, long silentMillis) {}

    /**
     * Creates a policy.
     *
     * @param voterTimeoutMillis time without a reply after which a voter can be removed
     * @param learnerTimeoutMillis time without a reply after which a learner is removed
     */
    MembershipPolicy(long voterTimeoutMillis, long learnerTimeoutMillis) {
        this.voterTimeoutMillis = voterTimeoutMillis;
        this.learnerTimeoutMillis = learnerTimeoutMillis;
    }

    /** Returns the members after the next change; null if nothing is to be changed. */
    @Nullable List<Member> nextMembers(List<Observation> observations) {
        MemberSet members = new MemberSet(observations.stream().map(Observation::member).toList());
        boolean evenVoters = members.voterCount() % 2 == 0;
        Observation silent = mostSilentVoter(observations);
        Set<String> caughtUpInstances = new HashSet<>();
        for (Observation learner : observations) {
            if (learner.member().voter()) {
                continue;
            }
            if (learner.silentMillis() >= learnerTimeoutMillis) {
                return members.without(learner.member().id());
            }
            if (!learner.caughtUp()) {
                continue;
            }
            caughtUpInstances.add(Addresses.instanceOf(learner.member().id()));
            // Removed first: until the learner votes, the others need the same majority as before.
            Member replaced = members.findReplacedVoter(learner.member().id());
            if (replaced != null) {
                return members.without(replaced.id());
            }
        }
        if (silent != null && (!caughtUpInstances.isEmpty() || evenVoters)) {
            return members.without(silent.member().id());
        }
        boolean grows = caughtUpInstances.size() > 1 && keepsMajority(members, observations);
        boolean promotes = evenVoters || members.voterCount() < MIN_VOTERS || grows;
        return promotes ? withPromotedLearner(members, observations) : null;
    }

    /**
     * Returns whether the voters that are connected are a majority even if the next voter is lost
     * as soon as it is one. A learner counts as connected for a while after its loss.
     */
    private static boolean keepsMajority(MemberSet members, List<Observation> observations) {
        long connected =
                observations.stream()
                        .filter(observed -> observed.member().voter() && observed.caughtUp())
                        .count();
        return connected > (members.voterCount() + 1) / 2;
    }

    private @Nullable Observation mostSilentVoter(List<Observation> observations) {
        Observation most = null;
        for (Observation voter : observations) {
            if (voter.member().voter()
                    && voter.silentMillis() >= voterTimeoutMillis
                    && (most == null || voter.silentMillis() > most.silentMillis())) {
                most = voter;
            }
        }
        return most;
    }

    private static @Nullable List<Member> withPromotedLearner(
            MemberSet members, List<Observation> observations) {
        // The last learner of an instance has its newest store; those before are gone.
        Map<String, Member> newest = new LinkedHashMap<>();
        for (Observation learner : observations) {
            if (!learner.member().voter() && learner.caughtUp()) {
                newest.put(Addresses.instanceOf(learner.member().id()), learner.member());
            }
        }
        Iterator<Member> first = newest.values().iterator();
        return first.hasNext() ? members.with(new Member(first.next().id(), true)) : null;
    }
}
