package dev.jayturn.core.consensus;

/** Told once whether a member was confirmed as leader. */
public interface LeadershipCallback {
    /** Called with true if a quorum answered in the leader's term, after the question was asked. */
    void onResult(boolean confirmed);
}
