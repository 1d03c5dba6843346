package dev.jayturn.core.consensus;

/** Replication progress of one member, as tracked by the leader. */
final class Progress {
    long nextIndex;
    long matchIndex;

    /** Round of the last append or snapshot that the member has acknowledged. */
    long matchRound;

    /** Time of the last reply, or of the creation if there was none. */
    long lastReplyMillis;

    /** Highest heartbeat round that the member has acknowledged. */
    long ackedRound;

    /** Highest level of the commands that the member can apply, according to its replies. */
    int commandLevel;

    /** Offset of the next snapshot item to send; -1 if no snapshot is being installed. */
    int snapshotOffset = -1;

    long snapshotIndex;

    /** Number of items of the snapshot that is being installed. */
    int snapshotSize;

    /** Time when entries or a snapshot chunk were last sent; empty heartbeats do not count. */
    long lastSendMillis;

    Progress(long nextIndex, long nowMillis) {
        this.nextIndex = nextIndex;
        this.lastReplyMillis = nowMillis;
    }

    boolean isInstallingSnapshot() {
        return snapshotOffset >= 0;
    }
}
