package dev.jayturn.core.consensus;

/**
 * How many losses a cluster can bear, as its leader sees it.
 *
 * @param voters number of members that vote
 * @param learners number of members that only replicate the log
 * @param reachableVoters voters that replied within an election timeout, the leader included
 * @param commandLevel highest level of the commands that all reachable voters can apply
 */
public record QuorumStatus(int voters, int learners, int reachableVoters, int commandLevel) {
    /**
     * Returns how many of the reachable voters may be lost while the others remain a majority;
     * negative if they are none now.
     */
    public int toleratedLosses() {
        return reachableVoters - (voters / 2 + 1);
    }

    /**
     * Returns whether a command of a level can be proposed: the reachable voters are a majority and
     * all of them can apply it. One that cannot would fall behind.
     */
    public boolean canApply(int level) {
        return toleratedLosses() >= 0 && commandLevel >= level;
    }
}
