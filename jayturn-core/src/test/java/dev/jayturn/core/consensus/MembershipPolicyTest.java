package dev.jayturn.core.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.consensus.MembershipPolicy.Observation;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

final class MembershipPolicyTest {
    private static final long VOTER_TIMEOUT_MILLIS = 1_500;
    private static final long LEARNER_TIMEOUT_MILLIS = 10_000;

    private final MembershipPolicy policy =
            new MembershipPolicy(VOTER_TIMEOUT_MILLIS, LEARNER_TIMEOUT_MILLIS);

    private static Observation voter(String id) {
        return new Observation(new Member(id, true), true, 0);
    }

    private static Observation silentVoter(String id, long silentMillis) {
        return new Observation(new Member(id, true), false, silentMillis);
    }

    private static Observation learner(String id) {
        return new Observation(new Member(id, false), true, 0);
    }

    private @Nullable String next(Observation... observations) {
        List<Member> changed = policy.nextMembers(Arrays.asList(observations));
        if (changed == null) {
            return null;
        }
        List<String> ids = new ArrayList<>();
        changed.forEach(member -> ids.add(member.voter() ? member.id() : '(' + member.id() + ')'));
        return String.join(" ", ids);
    }

    @Test
    void silentVoterIsRemovedBeforeTheLearnerThatReplacesItIsPromoted() {
        assertThat(next(voter("a"), silentVoter("b", 1_500), voter("c"), learner("d")))
                .isEqualTo("a c (d)");
        assertThat(next(voter("a"), voter("c"), learner("d"))).isEqualTo("a c d");
    }

    @Test
    void voterThatLostItsStoreIsReplacedAtOnce() {
        assertThat(next(voter("a"), silentVoter("b#1", 100), voter("c"), learner("b#2")))
                .isEqualTo("a c (b#2)");
    }

    @Test
    void voterThatHasBeenSilentForAMomentIsKept() {
        assertThat(next(voter("a"), silentVoter("b", 1_499), voter("c"), learner("d"))).isNull();
    }

    @Test
    void voterWithoutASuccessorIsKept() {
        assertThat(next(voter("a"), silentVoter("b", 60_000), voter("c"))).isNull();
    }

    @Test
    void silentVoterOfAnEvenNumberIsRemovedWithoutASuccessor() {
        assertThat(next(voter("a"), voter("b"), silentVoter("c", 1_500), voter("d")))
                .isEqualTo("a b d");
    }

    @Test
    void longestSilentVoterIsRemovedFirst() {
        assertThat(
                        next(
                                voter("a"),
                                silentVoter("b", 1_600),
                                silentVoter("c", 1_700),
                                voter("d"),
                                voter("e"),
                                learner("f")))
                .isEqualTo("a b d e (f)");
    }

    @Test
    void singleLearnerBesideReachableVotersOfAnOddNumberStaysALearner() {
        assertThat(next(voter("a"), voter("b"), voter("c"), learner("d"))).isNull();
    }

    @Test
    void twoLearnersAreBothPromoted() {
        assertThat(next(voter("a"), voter("b"), voter("c"), learner("d"), learner("e")))
                .isEqualTo("a b c (e) d");
        assertThat(next(voter("a"), voter("b"), voter("c"), voter("d"), learner("e")))
                .isEqualTo("a b c d e");
    }

    @Test
    void firstLearnerOfASmallClusterIsPromoted() {
        assertThat(next(voter("a"), learner("b"))).isEqualTo("a b");
    }

    @Test
    void learnerThatIsNotCaughtUpChangesNothing() {
        Observation behind = new Observation(new Member("d", false), false, 0);
        assertThat(next(voter("a"), silentVoter("b", 5_000), voter("c"), behind)).isNull();
    }

    @Test
    void learnerThatStaysSilentIsRemoved() {
        Observation silent = new Observation(new Member("d", false), false, 10_000);
        assertThat(next(voter("a"), voter("b"), voter("c"), silent)).isEqualTo("a b c");
    }
}
