package dev.jayturn.core.consensus;

/** Receives the result of {@link RaftNode#confirmLeadership}. */
public interface LeadershipCallback {
    /** Called once; true if a quorum confirmed the leader in its term after the call was made. */
    void onResult(boolean confirmed);
}
