package dev.jayturn.core.consensus;

/** Told once what became of a proposal. */
public interface ProposalCallback {
    /** The command was committed and applied with this outcome. */
    void onApplied(Object outcome);

    /** This instance is not the leader, or lost its term; the command may still be committed. */
    void onLeadershipLost();
}
