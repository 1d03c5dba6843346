package dev.jayturn.core.consensus;

/** Receives the result of {@link RaftNode#confirmLeadership}. */
public interface LeadershipCallback {
    /** Called once; true if a quorum confirmed, after the request, that the leader still leads. */
    void onResult(boolean confirmed);
}
