package dev.jayturn.core.dispatch;

import dev.jayturn.core.directory.Heartbeat;

/** One life of an upstream as this entry instance knows it: its own work there and its health. */
public final class UpstreamLoad {
    /** Weight of a new observation in the averages. */
    private static final double SMOOTHING_FACTOR = 0.2;

    private static final double INITIAL_PROMPT_TOKENS_PER_MILLI = 60;
    private static final double INITIAL_REQUEST_MILLIS = 60;

    /** Prompts shorter than this tell little about the speed of reading. */
    private static final long MIN_SAMPLE_TOKENS = 800;

    private static final long INITIAL_SUSPENSION_MILLIS = 500;
    private static final long MAX_SUSPENSION_MILLIS = 8_000;

    /** Share of an engine's cache that one instance counts on for its own prompts. */
    private static final double CACHE_SHARE = 0.25;

    private final PrefixHistory prefixes;
    private Heartbeat heartbeat;
    private int inFlight;
    private long waitingTokens;
    private int peersInFlight;
    private long peersWaitingTokens;
    private double promptTokensPerMilli = INITIAL_PROMPT_TOKENS_PER_MILLI;
    private double requestMillis = INITIAL_REQUEST_MILLIS;
    private double failureRate;
    private long suspendedUntilMillis;
    private long suspensionMillis = INITIAL_SUSPENSION_MILLIS;

    public UpstreamLoad(Heartbeat heartbeat, long cacheTokens) {
        this.heartbeat = heartbeat;
        this.prefixes = new PrefixHistory((long) (CACHE_SHARE * cacheTokens));
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
    void setPeerLoad(int requests, long tokens) {
        peersInFlight = requests;
        peersWaitingTokens = tokens;
    }

    /** Returns the requests of all instances, as far as they have told. */
    public int totalInFlight() {
        return inFlight + peersInFlight;
    }

    /** Returns the waiting prompt tokens of all instances, as far as they have told. */
    public long totalWaitingTokens() {
        return waitingTokens + peersWaitingTokens;
    }

    /** Returns the prompt tokens that the upstream reads in a millisecond. */
    public double promptTokensPerMilli() {
        return promptTokensPerMilli;
    }

    /** Returns how long a request of a plain service takes, in milliseconds. */
    public double requestMillis() {
        return requestMillis;
    }

    /** Returns the share of recent requests that failed. */
    public double failureRate() {
        return failureRate;
    }

    /** Returns the leading tokens of a prompt that were sent here before. */
    public long sentPrefixTokens(RequestProfile work) {
        return prefixes.sentPrefixTokens(work);
    }

    /** Returns whether requests are kept away after failures. */
    public boolean isSuspended(long nowMillis) {
        return nowMillis < suspendedUntilMillis;
    }

    /** Notes a request sent; returns the tokens it will have to read. */
    public long requestStarted(RequestProfile work) {
        long unread = work.promptTokens() - prefixes.sentPrefixTokens(work);
        inFlight++;
        waitingTokens += unread;
        prefixes.add(work);
        return unread;
    }

    /** Notes the first event or answer of a request. */
    public void firstEventReceived(long unreadTokens, long elapsedMillis, boolean alone) {
        waitingTokens -= unreadTokens;
        if (alone && unreadTokens >= MIN_SAMPLE_TOKENS) {
            double rate = unreadTokens / (double) Math.max(1, elapsedMillis);
            promptTokensPerMilli += SMOOTHING_FACTOR * (rate - promptTokensPerMilli);
        }
    }

    /** Notes that a request ended before its first event. */
    public void endedBeforeFirstEvent(long unreadTokens) {
        waitingTokens -= unreadTokens;
    }

    /** Notes the end of a request. */
    public void requestEnded() {
        inFlight--;
    }

    /** Notes an answer that came as it should, after a time in milliseconds. */
    public void requestSucceeded(long elapsedMillis) {
        requestMillis += SMOOTHING_FACTOR * (elapsedMillis - requestMillis);
        failureRate -= SMOOTHING_FACTOR * failureRate;
        suspensionMillis = INITIAL_SUSPENSION_MILLIS;
    }

    /** Notes a failed request. */
    public void requestFailed() {
        failureRate += SMOOTHING_FACTOR * (1 - failureRate);
    }

    /** Notes that the upstream could not be reached; each time in a row it is left alone longer. */
    public void connectionFailed(long nowMillis) {
        requestFailed();
        suspendedUntilMillis = nowMillis + suspensionMillis;
        suspensionMillis = Math.min(2 * suspensionMillis, MAX_SUSPENSION_MILLIS);
    }
}
