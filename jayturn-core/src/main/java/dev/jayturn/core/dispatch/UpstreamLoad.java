package dev.jayturn.core.dispatch;

import dev.jayturn.core.directory.Heartbeat;

/**
 * The load and health of one incarnation of an upstream, as seen by this entry instance. The work
 * in flight is that of this instance and, as far as they report it, of the other ones.
 */
public final class UpstreamLoad {
    /** Stands for the time of work that is not known. */
    public static final long UNKNOWN_TIME = Long.MIN_VALUE;

    /** Weight of a new sample in the moving averages. */
    private static final double SMOOTHING_FACTOR = 0.2;

    /** The moving averages start at these values. */
    private static final double INITIAL_PROMPT_TOKENS_PER_MILLI = 60;

    private static final double INITIAL_REQUEST_MILLIS = 60;

    /** The time of a shorter prompt is too noisy a sample of the reading speed. */
    private static final long MIN_SAMPLE_TOKENS = 800;

    private static final long INITIAL_SUSPENSION_MILLIS = 500;
    private static final long MAX_SUSPENSION_MILLIS = 8_000;

    /** Share of an upstream's cache that this instance assumes for its own prompts. */
    private static final double CACHE_SHARE = 0.25;

    private final PrefixHistory prefixes;
    private Heartbeat heartbeat;
    private int inFlight;
    private long waitingTokens;
    private int peersInFlight;
    private long peersWaitingTokens;
    private long peersAsOfMillis = UNKNOWN_TIME;
    private double promptTokensPerMilli = INITIAL_PROMPT_TOKENS_PER_MILLI;
    private double requestMillis = INITIAL_REQUEST_MILLIS;
    private double failureRate;
    private long suspendedUntilMillis;
    private long suspensionMillis = INITIAL_SUSPENSION_MILLIS;
    private long pausedUntilMillis = Long.MIN_VALUE;

    public UpstreamLoad(Heartbeat heartbeat, long cacheTokens) {
        this.heartbeat = heartbeat;
        this.prefixes = new PrefixHistory((long) (CACHE_SHARE * cacheTokens));
    }

    /** Returns the latest heartbeat. */
    public Heartbeat heartbeat() {
        return heartbeat;
    }

    /** Replaces the heartbeat by a later one of the same incarnation. */
    public void update(Heartbeat later) {
        heartbeat = later;
    }

    /** Returns the number of requests of this instance in flight. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns the uncached prompt tokens of requests that wait for their first event. */
    public long waitingTokens() {
        return waitingTokens;
    }

    /** Sets the work that other instances have in flight at this upstream. */
    void setPeerLoad(int requests, long tokens) {
        setPeerLoad(requests, tokens, UNKNOWN_TIME);
    }

    /**
     * Sets the work that other instances have in flight at this upstream.
     *
     * @param asOfMillis time at which they had it; {@link #UNKNOWN_TIME} if it is not known
     */
    public void setPeerLoad(int requests, long tokens, long asOfMillis) {
        peersInFlight = requests;
        peersWaitingTokens = tokens;
        peersAsOfMillis = asOfMillis;
    }

    /** Returns the age of the work of other instances; Long.MAX_VALUE if it is not known. */
    public long peerLoadAgeMillis(long nowMillis) {
        return peersAsOfMillis == UNKNOWN_TIME
                ? Long.MAX_VALUE
                : Math.max(0, nowMillis - peersAsOfMillis);
    }

    /** Returns the requests in flight of all instances, as far as known. */
    public int totalInFlight() {
        return inFlight + peersInFlight;
    }

    /** Returns the waiting prompt tokens of all instances, as far as known. */
    public long totalWaitingTokens() {
        return waitingTokens + peersWaitingTokens;
    }

    /** Returns the average number of prompt tokens that the upstream reads per millisecond. */
    public double promptTokensPerMilli() {
        return promptTokensPerMilli;
    }

    /** Returns the average duration of a request to a plain service, in milliseconds. */
    public double requestMillis() {
        return requestMillis;
    }

    /** Returns the moving average of the share of failed requests, from 0 to 1. */
    public double failureRate() {
        return failureRate;
    }

    /** Returns the number of leading prompt tokens that were sent to this upstream before. */
    public long sentPrefixTokens(RequestProfile profile) {
        return prefixes.sentPrefixTokens(profile);
    }

    /** Returns whether the upstream gets no requests for now, after failed connections. */
    public boolean isSuspended(long nowMillis) {
        return nowMillis < suspendedUntilMillis;
    }

    /**
     * Pauses the upstream at its own request. Unlike a suspension, which is a guess from failed
     * connections, a pause is always respected. A shorter request does not end a longer pause.
     */
    public void pauseUntil(long untilMillis) {
        pausedUntilMillis = Math.max(pausedUntilMillis, untilMillis);
    }

    /** Returns the remaining time for which the upstream asked to get no requests, or 0. */
    public long remainingPauseMillis(long nowMillis) {
        return pausedUntilMillis > nowMillis ? pausedUntilMillis - nowMillis : 0;
    }

    /** Records a request that is sent; returns its prompt tokens that are not cached yet. */
    public long requestStarted(RequestProfile profile) {
        long uncachedTokens = profile.promptTokens() - prefixes.sentPrefixTokens(profile);
        inFlight++;
        waitingTokens += uncachedTokens;
        prefixes.add(profile);
        return uncachedTokens;
    }

    /**
     * Records the first event of the answer stream of a request, or its answer.
     *
     * @param elapsedMillis time since the request was sent
     * @param alone whether no other prompt was waiting when the request was sent, so that the time
     *     is a valid sample of the reading speed
     */
    public void firstEventReceived(long uncachedTokens, long elapsedMillis, boolean alone) {
        waitingTokens -= uncachedTokens;
        if (alone && uncachedTokens >= MIN_SAMPLE_TOKENS) {
            double rate = uncachedTokens / (double) Math.max(1, elapsedMillis);
            promptTokensPerMilli += SMOOTHING_FACTOR * (rate - promptTokensPerMilli);
        }
    }

    /** Records that a request ended before its first event. */
    public void endedBeforeFirstEvent(long uncachedTokens) {
        waitingTokens -= uncachedTokens;
    }

    /** Records the end of a request, whatever its outcome. */
    public void requestEnded() {
        inFlight--;
    }

    /** Records a successful answer and the duration of the request. */
    public void requestSucceeded(long elapsedMillis) {
        requestMillis += SMOOTHING_FACTOR * (elapsedMillis - requestMillis);
        failureRate -= SMOOTHING_FACTOR * failureRate;
        suspensionMillis = INITIAL_SUSPENSION_MILLIS;
    }

    /** Records a failed request. */
    public void requestFailed() {
        failureRate += SMOOTHING_FACTOR * (1 - failureRate);
    }

    /**
     * Records that the upstream declined a request as meant for another one, and suspends it like
     * after a failed connection. Another upstream may have its address now, of which a heartbeat
     * will tell; or it has only other weights than that caller expects.
     */
    public void requestMisdirected(long nowMillis) {
        connectionFailed(nowMillis);
    }

    /**
     * Records a failed connection and suspends the upstream; the suspension doubles with each
     * failure in a row, up to a limit.
     */
    public void connectionFailed(long nowMillis) {
        requestFailed();
        suspendedUntilMillis = nowMillis + suspensionMillis;
        suspensionMillis = Math.min(2 * suspensionMillis, MAX_SUSPENSION_MILLIS);
    }
}
