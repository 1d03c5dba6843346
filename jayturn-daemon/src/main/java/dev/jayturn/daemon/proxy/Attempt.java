package dev.jayturn.daemon.proxy;

import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.dispatch.RequestProfile;
import dev.jayturn.core.dispatch.UpstreamLoad;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.resumption.StreamContinuation;
import dev.jayturn.core.resumption.StreamOrigin;
import dev.jayturn.core.timer.TimerService;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import org.jspecify.annotations.Nullable;

/**
 * One attempt to send a request to one upstream and to forward its response. Updates the load of
 * the upstream as the attempt proceeds.
 */
final class Attempt implements UpstreamListener {
    private final Exchange exchange;
    private final UpstreamLoad upstream;
    private final Heartbeat heartbeatAtStart;
    private final RequestProfile profile;
    private final Forwarder forwarder;
    private final TimerService timers;
    private final HeaderCodec codec;
    private final boolean noOtherPromptWaiting;
    private final long uncachedTokens;
    private final long startMillis;
    private @Nullable UpstreamConnection connection;
    private boolean sent;
    private boolean permitHeld;
    private boolean responseStarted;
    private boolean ended;
    private boolean successStatus;
    private boolean retryAllowed = true;
    private boolean chunked;
    private boolean isContinuation;
    private long eventsAtStart;
    private long sentMillis;
    private long runStartMillis;

    /** Why an attempt gave no response that the caller can get. */
    enum Failure {
        /** No connection could be opened. */
        UNREACHABLE,
        /** The upstream stopped accepting requests while a connection was being opened. */
        WITHDRAWN,
        /** Another upstream has the address now; the request was not executed there. */
        MISDIRECTED,
        /** The upstream did not execute the request, according to its response. */
        DECLINED,
        /** The response was an error, and a retry was acquired, so the request is retried. */
        REPLACED,
        /** The response may belong to another request. */
        UNATTRIBUTABLE,
        /** The response was invalid or incomplete. */
        BROKEN;

        ResultCode resultCode() {
            switch (this) {
                case UNREACHABLE:
                case WITHDRAWN:
                case MISDIRECTED:
                    return ResultCode.NO_UPSTREAM;
                case DECLINED:
                    return ResultCode.UPSTREAM_DECLINED;
                default:
                    return ResultCode.UPSTREAM_FAILED;
            }
        }
    }

    Attempt(Exchange exchange, UpstreamLoad upstream, RequestProfile profile, Forwarder forwarder) {
        this.exchange = exchange;
        this.upstream = upstream;
        this.heartbeatAtStart = upstream.heartbeat();
        this.profile = profile;
        this.forwarder = forwarder;
        this.timers = forwarder.timers();
        this.codec = forwarder.codec();
        this.startMillis = timers.nowMillis();
        this.noOtherPromptWaiting = upstream.totalWaitingTokens() == 0;
        this.uncachedTokens = upstream.requestStarted(profile);
        this.permitHeld = forwarder.acquirePermit(upstream);
        forwarder.onLoadChange();
    }

    UpstreamLoad upstream() {
        return upstream;
    }

    /** Returns the connection that was opened or reused, if any. */
    @Nullable UpstreamConnection connection() {
        return connection;
    }

    /** Returns the origin of events that are received now. */
    StreamOrigin eventOrigin() {
        return StreamOrigin.of(heartbeatAtStart, forwarder.upstreams().newestOf(heartbeatAtStart));
    }

    void onConnection(UpstreamConnection usedConnection) {
        connection = usedConnection;
    }

    /**
     * Enables or disables reading from the upstream, which is disabled while the caller is slow.
     */
    void setAutoRead(boolean enabled) {
        UpstreamConnection currentConnection = connection;
        if (currentConnection != null && !ended) {
            currentConnection.channel().config().setAutoRead(enabled);
        }
    }

    /** Cancels the attempt; its connection is closed. */
    void cancel() {
        if (!ended) {
            closeConnection();
            recordEnd();
        }
    }

    private void closeConnection() {
        UpstreamConnection currentConnection = connection;
        if (currentConnection != null) {
            currentConnection.abort();
        }
    }

    private void recordEnd() {
        ended = true;
        if (permitHeld && !sent) {
            forwarder.releasePermit(upstream);
        }
        if (!responseStarted) {
            upstream.endedBeforeFirstEvent(uncachedTokens);
        }
        upstream.requestEnded();
        forwarder.onLoadChange();
    }

    private long elapsedMillis() {
        return timers.nowMillis() - startMillis;
    }

    @Override
    public boolean onConnected() {
        if (ended) {
            return false;
        }
        // The limit may have been named while the connection was being opened.
        permitHeld = permitHeld || forwarder.acquirePermit(upstream);
        boolean lacksPermit = !permitHeld && forwarder.needsPermit(upstream);
        boolean mayBeOtherVersion =
                exchange.stream().origin() != null && !forwarder.isDirectoryCurrent();
        boolean accepted = forwarder.acceptsRequests(upstream) && exchange.admits(upstream);
        if (lacksPermit || mayBeOtherVersion || !accepted) {
            recordEnd();
            exchange.onFailure(this, Failure.WITHDRAWN);
            return false;
        }
        sent = true;
        sentMillis = timers.nowMillis();
        runStartMillis = sentMillis;
        exchange.onSent();
        return true;
    }

    @Override
    public boolean acceptsBytes() {
        return exchange.caller().isWritable();
    }

    @Override
    public void onUnreachable() {
        if (!ended) {
            recordEnd();
            upstream.connectionFailed(timers.nowMillis());
            forwarder.onConnectionLost(upstream);
            exchange.onFailure(this, Failure.UNREACHABLE);
        }
    }

    @Override
    public void onUnattributableResponse() {
        if (!ended) {
            recordEnd();
            reportFailure(Failure.UNATTRIBUTABLE);
        }
    }

    @Override
    public void onResponseHead(HttpResponse response) {
        if (ended) {
            return;
        }
        successStatus = response.status().codeClass() == HttpStatusClass.SUCCESS;
        if (!codec.isMisdirected(response)) {
            forwarder.applyUpstreamNotices(upstream, response, startMillis);
        }
        Failure failure = classify(response);
        if (failure != null) {
            endWithoutResponse(failure);
            return;
        }
        responseStarted = true;
        runStartMillis = timers.nowMillis();
        chunked = HttpUtil.isTransferEncodingChunked(response);
        eventsAtStart = exchange.stream().eventCount();
        upstream.firstEventReceived(uncachedTokens, elapsedMillis(), noOtherPromptWaiting);
        forwarder.onLoadChange();
        exchange.onResponseHead(response, successStatus);
        isContinuation = exchange.stream().hasBegun() && exchange.stream().isContinuation();
    }

    /** Ends the attempt at the head of a response that is not forwarded. */
    private void endWithoutResponse(Failure failure) {
        UpstreamConnection currentConnection = connection;
        if (failure == Failure.BROKEN) {
            closeConnection();
        } else if (currentConnection != null) {
            currentConnection.discardResponse();
        }
        recordEnd();
        reportFailure(failure);
    }

    private @Nullable Failure classify(HttpResponse response) {
        if (codec.isMisdirected(response)) {
            return Failure.MISDIRECTED;
        }
        if (codec.isNotExecuted(response)) {
            return Failure.DECLINED;
        }
        if (!codec.isSigned(response) || !isOfStream(response)) {
            return Failure.BROKEN;
        }
        // REPLACED means that the retry is acquired: Exchange.onFailure does not acquire it again.
        return !successStatus && exchange.tryAcquireRetry(Failure.REPLACED)
                ? Failure.REPLACED
                : null;
    }

    /** Returns whether the response can go on with the stream, if the caller has a part of it. */
    private boolean isOfStream(HttpResponse response) {
        if (!exchange.goesOnWithStream() || (!successStatus && !exchange.stream().hasBegun())) {
            return true;
        }
        String contentType = response.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
        return StreamContinuation.acceptsHead(response.status().code(), contentType);
    }

    @Override
    public void onResponseBody(ByteBuf bytes) {
        if (!ended && !exchange.onResponseBody(this, bytes)) {
            endWithoutResponse(Failure.BROKEN);
        }
    }

    @Override
    public void onReadComplete() {
        if (!ended) {
            exchange.caller().flushBody();
        }
    }

    @Override
    public void onResponseComplete() {
        if (ended) {
            return;
        }
        recordEnd();
        if (exchange.stream().hasPartialEvent() || isEmptyCloseDelimitedStream()) {
            recordCutOff();
            reportFailure(Failure.BROKEN);
            return;
        }
        if (isContinuation && !StreamContinuation.acceptsEnd(receivedEvents(), chunked)) {
            reportFailure(Failure.BROKEN);
            return;
        }
        if (successStatus) {
            upstream.requestSucceeded(elapsedMillis());
            exchange.quarantineCheck().onCompleted();
        } else {
            upstream.requestFailed();
        }
        exchange.onResponseComplete();
    }

    @Override
    public void onResponseIncomplete() {
        if (!ended) {
            recordEnd();
            recordCutOff();
            forwarder.onConnectionLost(upstream);
            reportFailure(Failure.BROKEN);
        }
    }

    /** An upstream that crashes right after the head ends its connections like a whole response. */
    private boolean isEmptyCloseDelimitedStream() {
        UpstreamConnection currentConnection = connection;
        return currentConnection != null
                && currentConnection.isCloseDelimited()
                && exchange.stream().hasBegun()
                && receivedEvents() == 0;
    }

    /** Returns the number of events of this attempt. */
    private long receivedEvents() {
        return exchange.stream().eventCount() - eventsAtStart;
    }

    private void recordCutOff() {
        boolean beforeAnEvent = responseStarted && successStatus && receivedEvents() == 0;
        retryAllowed =
                exchange.quarantineCheck()
                        .onCutOff(
                                upstream.heartbeat().incarnationId(),
                                responseStarted,
                                beforeAnEvent,
                                ranMillis(),
                                sentMillis);
    }

    /** Returns whether another upstream may get the request without a risk that it crashes too. */
    boolean isRetryAllowed() {
        return retryAllowed;
    }

    private void reportFailure(Failure reason) {
        if (reason != Failure.MISDIRECTED) {
            upstream.requestFailed();
        }
        exchange.onFailure(this, reason);
    }

    /**
     * Returns the time since the response began, or since the request was sent if it has not begun;
     * 0 if the request was not sent.
     */
    long ranMillis() {
        return sent ? timers.nowMillis() - runStartMillis : 0;
    }

    /** Returns whether a response to the request began. */
    boolean hasResponded() {
        return responseStarted;
    }

    boolean wasSent() {
        return sent;
    }
}
