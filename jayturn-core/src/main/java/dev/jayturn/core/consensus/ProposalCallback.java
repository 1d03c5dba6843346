package dev.jayturn.core.consensus;

/** Receives the result of a proposed command; exactly one method is called, once. */
public interface ProposalCallback {
    /** For commands whose effect shows in the state, where a lost one is proposed again. */
    ProposalCallback IGNORED =
            new ProposalCallback() {
                @Override
                public void onApplied(Object outcome) {
                    // The state shows it.
                }

                @Override
                public void onLeadershipLost() {
                    // The next leader sees that the effect is missing.
                }
            };

    /** Called after the command was committed and applied, with its outcome. */
    void onApplied(Object outcome);

    /**
     * Called if this member is not the leader or steps down before the command is applied; the
     * command may still be committed.
     */
    void onLeadershipLost();
}
