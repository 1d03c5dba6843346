package dev.jayturn.core.fleet;

/** Learns how operators' calls are answered and which entry instances lack the configuration. */
public interface ConfigurationListener {
    /** Ignores everything. */
    ConfigurationListener NONE =
            new ConfigurationListener() {
                @Override
                public void onCallForwarded(long id, long version, String leader) {
                    // Nobody asked for it.
                }

                @Override
                public void onCallAnswered(ConfigurationAnswer answer) {
                    // Nobody asked for it.
                }

                @Override
                public void onCallUnconfirmed(long id, long version, String reason, String leader) {
                    // Nobody asked for it.
                }

                @Override
                public void onEntryBehind(String entry, long version, long newest, long millis) {
                    // Nobody asked for it.
                }

                @Override
                public void onEntryCaughtUp(String entry, long version, long millis) {
                    // Nobody asked for it.
                }
            };

    /**
     * Called when an operator's call is sent to the leader.
     *
     * @param id id of the call at this instance
     * @param version version to put in force; 0 for a read
     * @param leader member id of the leader
     */
    void onCallForwarded(long id, long version, String leader);

    /** Called when a call that is still open has been answered. */
    void onCallAnswered(ConfigurationAnswer answer);

    /**
     * Called when no quorum has confirmed a call in time.
     *
     * @param version version to put in force; 0 for a read
     * @param reason {@code no-leader} if none was known, {@code unsure} if the leader lost
     *     leadership or could not confirm it, {@code unanswered} if the leader sent no answer
     * @param leader member id of the leader that is known now; empty if unknown
     */
    void onCallUnconfirmed(long id, long version, String reason, String leader);

    /**
     * Called once an entry instance has reported an older version for some time.
     *
     * @param entry link address of the entry instance
     * @param version version that it reports
     * @param newest version in force at this control instance
     * @param millis time for which it has been behind
     */
    void onEntryBehind(String entry, long version, long newest, long millis);

    /** Called when an entry instance that was behind reports the newest version. */
    void onEntryCaughtUp(String entry, long version, long millis);
}
