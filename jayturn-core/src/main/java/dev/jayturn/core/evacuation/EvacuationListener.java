package dev.jayturn.core.evacuation;

/** Learns how operators' orders are forwarded and answered. */
public interface EvacuationListener {
    /** Ignores everything. */
    EvacuationListener NONE =
            new EvacuationListener() {
                @Override
                public void onForwarded(long id, EvacuationOrder order, String leader) {
                    // Nobody asked for it.
                }

                @Override
                public void onAnswered(EvacuationOrder order, EvacuationAnswer answer) {
                    // Nobody asked for it.
                }

                @Override
                public void onUnconfirmed(
                        long id, EvacuationOrder order, String reason, String leader) {
                    // Nobody asked for it.
                }
            };

    /**
     * Called when an order is sent to the leader.
     *
     * @param id id of the call at this instance
     * @param leader member id of the leader
     */
    void onForwarded(long id, EvacuationOrder order, String leader);

    /** Called when an order that is still open has been answered. */
    void onAnswered(EvacuationOrder order, EvacuationAnswer answer);

    /**
     * Called when no quorum has confirmed an order in time.
     *
     * @param reason {@code no-leader} if none was known, {@code unsure} if the leader could not
     *     commit it or a control instance cannot apply it yet, {@code unanswered} if the leader
     *     sent no answer, {@code stood-still} if this process may have received it long ago
     * @param leader member id of the leader that is known now; empty if unknown
     */
    void onUnconfirmed(long id, EvacuationOrder order, String reason, String leader);
}
