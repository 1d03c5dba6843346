package dev.jayturn.core.consensus;

import dev.jayturn.core.transport.Addresses;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** An immutable list of the members of a cluster. */
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

    /** Returns whether the voters among these ids are a majority of the voters. */
    boolean isQuorum(Set<String> ids) {
        int count = 0;
        for (String id : ids) {
            count += isVoter(id) ? 1 : 0;
        }
        return count >= quorumSize();
    }

    /** Returns a voter of the same instance with another store, or null if there is none. */
    @Nullable Member findReplacedVoter(String id) {
        for (Member member : members) {
            if (member.voter() && !member.id().equals(id) && isSameInstance(member.id(), id)) {
                return member;
            }
        }
        return null;
    }

    List<Member> with(Member added) {
        List<Member> result = without(added.id());
        result.add(added);
        return result;
    }

    List<Member> without(String id) {
        List<Member> result = new ArrayList<>(members);
        result.removeIf(member -> member.id().equals(id));
        return result;
    }

    private static boolean isSameInstance(String left, String right) {
        return Addresses.instanceOf(left).equals(Addresses.instanceOf(right));
    }
}
