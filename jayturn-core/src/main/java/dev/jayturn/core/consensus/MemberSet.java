package dev.jayturn.core.consensus;

import dev.jayturn.core.transport.Addresses;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** An immutable list of members with its questions. */
final class MemberSet {
    private final List<Member> members;

    MemberSet(List<Member> members) {
        this.members = List.copyOf(members);
    }

    List<Member> list() {
        return members;
    }

    @Nullable Member find(String id) {
        for (Member member : members) {
            if (member.id().equals(id)) {
                return member;
            }
        }
        return null;
    }

    boolean isVoter(String id) {
        Member member = find(id);
        return member != null && member.voter();
    }

    int quorumSize() {
        return voterCount() / 2 + 1;
    }

    int voterCount() {
        int count = 0;
        for (Member member : members) {
            count += member.voter() ? 1 : 0;
        }
        return count;
    }

    /** Returns whether these ids hold a majority of the votes. */
    boolean isQuorum(Set<String> ids) {
        int count = 0;
        for (String id : ids) {
            count += isVoter(id) ? 1 : 0;
        }
        return count >= quorumSize();
    }

    /** Returns the voter that the same instance was before its store was replaced, if any. */
    @Nullable Member findReplacedVoter(String id) {
        for (Member member : members) {
            if (member.voter() && !member.id().equals(id) && isSameInstance(member.id(), id)) {
                return member;
            }
        }
        return null;
    }

    List<Member> with(Member added) {
        List<Member> changed = without(added.id());
        changed.add(added);
        return changed;
    }

    List<Member> without(String id) {
        List<Member> changed = new ArrayList<>(members);
        changed.removeIf(member -> member.id().equals(id));
        return changed;
    }

    private static boolean isSameInstance(String left, String right) {
        return Addresses.instanceOf(left).equals(Addresses.instanceOf(right));
    }
}
