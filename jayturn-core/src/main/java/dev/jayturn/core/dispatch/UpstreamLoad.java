package dev.jayturn.core.dispatch;

import dev.jayturn.core.directory.Heartbeat;

/** One life of an upstream as this entry instance knows it: its own work there and its health. */
public final class UpstreamLoad {
    /** Weight of a new observation in the averages. */
    private static final double GAIN = 0.2;

    private static final double FIRST_PROMPT_RATE = 60;
    private static final double FIRST_WORK_MILLIS = 60;

    /** Prompts shorter than this tell little about the speed of reading. */
    private static final long LEARN_TOKENS = 800;

    private static final long FIRST_SUSPENSION_MILLIS = 500;
    private static final long LONGEST_SUSPENSION_MILLIS = 8_000;

    /** Share of an engine's cache that one instance counts on for its own prompts. */
    private static final double CACHE_SHARE = 0.25;

    private final PrefixHistory history;
    private Heartbeat heartbeat;
    private int inFlight;
    private long waitingTokens;
    private int othersInFlight;
    private long othersWaitingTokens;
    private double promptRate = FIRST_PROMPT_RATE;
    private double workMillis = FIRST_WORK_MILLIS;
    private double failureShare;
    private long suspendedUntilMillis;
    private long suspensionMillis = FIRST_SUSPENSION_MILLIS;

    public UpstreamLoad(Heartbeat heartbeat, long cacheTokens) {
        this.heartbeat = heartbeat;
        this.history = new PrefixHistory((long) (CACHE_SHARE * cacheTokens));
    }

    /** Returns what the upstream last said. */
    public Heartbeat heartbeat() {
        return heartbeat;
    }

    /** Takes a later heartbeat of the same life. */
    public void update(Heartbeat later) {
        heartbeat = later;
    }

    /** Returns the requests sent and not ended. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns the prompt tokens sent whose first event has not come. */
    public long waitingTokens() {
        return waitingTokens;
    }

    /** Sets the work that other instances have here. */
    void setOthers(int requests, long tokens) {
        othersInFlight = requests;
        othersWaitingTokens = tokens;
    }

    /** Returns the requests of all instances, as far as they have told. */
    public int allInFlight() {
        return inFlight + othersInFlight;
    }

    /** Returns the waiting prompt tokens of all instances, as far as they have told. */
    public long allWaitingTokens() {
        return waitingTokens + othersWaitingTokens;
    }

    /** Returns the prompt tokens that the upstream reads in a millisecond. */
    public double promptRate() {
        return promptRate;
    }

    /** Returns how long a request of a plain service takes, in milliseconds. */
    public double workMillis() {
        return workMillis;
    }

    /** Returns the share of recent requests that failed. */
    public double failureShare() {
        return failureShare;
    }

    /** Returns the leading tokens of a prompt that were sent here before. */
    public long heldTokens(Work work) {
        return history.held(work);
    }

    /** Returns whether requests are kept away after failures. */
    public boolean isSuspended(long nowMillis) {
        return nowMillis < suspendedUntilMillis;
    }

    /** Notes a request sent; returns the tokens it will have to read. */
    public long started(Work work) {
        long unread = work.promptTokens() - history.held(work);
        inFlight++;
        waitingTokens += unread;
        history.note(work);
        return unread;
    }

    /** Notes the first event or answer of a request. */
    public void answered(long unreadTokens, long elapsedMillis, boolean alone) {
        waitingTokens -= unreadTokens;
        if (alone && unreadTokens >= LEARN_TOKENS) {
            double rate = unreadTokens / (double) Math.max(1, elapsedMillis);
            promptRate += GAIN * (rate - promptRate);
        }
    }

    /** Notes that a request ended before its first event. */
    public void unanswered(long unreadTokens) {
        waitingTokens -= unreadTokens;
    }

    /** Notes the end of a request. */
    public void ended() {
        inFlight--;
    }

    /** Notes an answer that came as it should, after a time in milliseconds. */
    public void succeeded(long elapsedMillis) {
        workMillis += GAIN * (elapsedMillis - workMillis);
        failureShare -= GAIN * failureShare;
        suspensionMillis = FIRST_SUSPENSION_MILLIS;
    }

    /** Notes a failed request. */
    public void failed() {
        failureShare += GAIN * (1 - failureShare);
    }

    /** Notes that the upstream could not be reached; each time in a row it is left alone longer. */
    public void unreachable(long nowMillis) {
        failed();
        suspendedUntilMillis = nowMillis + suspensionMillis;
        suspensionMillis = Math.min(2 * suspensionMillis, LONGEST_SUSPENSION_MILLIS);
    }
}
