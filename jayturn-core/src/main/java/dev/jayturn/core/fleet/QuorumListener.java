package dev.jayturn.core.fleet;

import dev.jayturn.core.consensus.Member;
import java.util.List;

/** Learns of changes of the leader and of the members of the control log. */
public interface QuorumListener {
    /**
     * Called when this instance learns of a leader or loses it.
     *
     * @param leader member id of the leader; empty if none is known
     * @param term term of this instance
     */
    void onLeader(String leader, long term);

    /** Called when the members in the newest entry of this instance's log have changed. */
    void onMembers(List<Member> members);
}
