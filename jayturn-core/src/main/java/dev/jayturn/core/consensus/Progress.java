package dev.jayturn.core.consensus;

/** What a leader knows of one other member. */
final class Progress {
    long nextIndex;
    long matchIndex;
    long lastReplyMillis;
    long ackedRound;
    int snapshotOffset = -1;
    long snapshotIndex;
    long lastSendMillis;

    Progress(long nextIndex, long nowMillis) {
        this.nextIndex = nextIndex;
        this.lastReplyMillis = nowMillis;
    }

    boolean isInstallingSnapshot() {
        return snapshotOffset >= 0;
    }
}
