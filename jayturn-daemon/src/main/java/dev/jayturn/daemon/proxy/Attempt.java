package dev.jayturn.daemon.proxy;

import dev.jayturn.core.dispatch.RequestProfile;
import dev.jayturn.core.dispatch.UpstreamLoad;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.timer.TimerService;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import org.jspecify.annotations.Nullable;

/** One try of a request at one upstream; keeps the upstream's load record in step. */
final class Attempt implements UpstreamListener {
    private final Exchange exchange;
    private final UpstreamLoad upstream;
    private final Forwarder forwarder;
    private final TimerService timers;
    private final HeaderCodec codec;
    private final boolean noOtherPromptWaiting;
    private final long uncachedTokens;
    private final long startMillis;
    private @Nullable UpstreamConnection connection;
    private @Nullable Failure failure;
    private boolean sent;
    private boolean responseStarted;
    private boolean ended;
    private boolean successStatus;

    /** How an attempt went that gave no answer for the caller. */
    enum Failure {
        /** No connection could be had. */
        UNREACHABLE,
        /** Another upstream has the address. */
        MISDIRECTED,
        /** The upstream says that it did not run the request. */
        DECLINED,
        /** The answer was a failure, and the request is to be sent again. */
        REPLACED,
        /** What came is no whole answer. */
        BROKEN;

        ResultCode resultCode() {
            switch (this) {
                case UNREACHABLE:
                case MISDIRECTED:
                    return ResultCode.NO_UPSTREAM;
                case DECLINED:
                    return ResultCode.UPSTREAM_DECLINED;
                default:
                    return ResultCode.UPSTREAM_FAILED;
            }
        }
    }

    Attempt(Exchange exchange, UpstreamLoad upstream, RequestProfile work, Forwarder forwarder) {
        this.exchange = exchange;
        this.upstream = upstream;
        this.forwarder = forwarder;
        this.timers = forwarder.timers();
        this.codec = forwarder.codec();
        this.startMillis = timers.nowMillis();
        this.noOtherPromptWaiting = upstream.totalWaitingTokens() == 0;
        this.uncachedTokens = upstream.requestStarted(work);
        forwarder.onLoadChange();
    }

    UpstreamLoad upstream() {
        return upstream;
    }

    void onConnection(UpstreamConnection made) {
        connection = made;
    }

    /** Has the upstream's bytes read, or left where they are while the caller is slow. */
    void setAutoRead(boolean reading) {
        UpstreamConnection open = connection;
        if (open != null && !ended) {
            open.channel().config().setAutoRead(reading);
        }
    }

    /** Ends the attempt from our side. */
    void cancel() {
        if (!ended) {
            closeConnection();
            recordEnd();
        }
    }

    private void closeConnection() {
        UpstreamConnection open = connection;
        if (open != null) {
            open.abort();
        }
    }

    private void recordEnd() {
        ended = true;
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
    public void onSent() {
        if (ended) {
            // The request ended while the connection was being made.
            closeConnection();
            return;
        }
        sent = true;
        exchange.onSent();
    }

    @Override
    public void onUnreachable() {
        if (!ended) {
            recordEnd();
            upstream.connectionFailed(timers.nowMillis());
            exchange.onFailure(this, Failure.UNREACHABLE);
        }
    }

    @Override
    public void onResponseHead(HttpResponse response) {
        if (ended) {
            return;
        }
        successStatus = response.status().codeClass() == HttpStatusClass.SUCCESS;
        failure = classify(response);
        if (failure == null) {
            responseStarted = true;
            upstream.firstEventReceived(uncachedTokens, elapsedMillis(), noOtherPromptWaiting);
            forwarder.onLoadChange();
            exchange.onResponseHead(response, successStatus);
        }
    }

    private @Nullable Failure classify(HttpResponse response) {
        if (codec.isMisdirected(response)) {
            return Failure.MISDIRECTED;
        }
        if (codec.isNotExecuted(response)) {
            return Failure.DECLINED;
        }
        if (!codec.isSigned(response) || (exchange.hasStreamStarted() && !successStatus)) {
            return Failure.BROKEN;
        }
        return !successStatus && exchange.tryAcquireRetry() ? Failure.REPLACED : null;
    }

    @Override
    public void onResponseBody(ByteBuf bytes) {
        if (!ended && failure == null) {
            exchange.onResponseBody(bytes);
        }
    }

    @Override
    public void onResponseComplete() {
        if (ended) {
            return;
        }
        if (failure == null && exchange.hasPartialEvent()) {
            failure = Failure.BROKEN;
        }
        recordEnd();
        if (failure != null) {
            reportFailure(failure);
            return;
        }
        if (successStatus) {
            upstream.requestSucceeded(elapsedMillis());
        } else {
            upstream.requestFailed();
        }
        exchange.onResponseComplete();
    }

    @Override
    public void onResponseIncomplete() {
        if (!ended) {
            recordEnd();
            reportFailure(failure == Failure.DECLINED ? Failure.DECLINED : Failure.BROKEN);
        }
    }

    private void reportFailure(Failure reason) {
        if (reason != Failure.MISDIRECTED) {
            upstream.requestFailed();
        }
        exchange.onFailure(this, reason);
    }

    boolean wasSent() {
        return sent;
    }
}
