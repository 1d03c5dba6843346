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
    private final CallerCodec codec;
    private final boolean alone;
    private final long unread;
    private final long startMillis;
    private @Nullable UpstreamConnection connection;
    private @Nullable Failure failure;
    private boolean sent;
    private boolean answered;
    private boolean over;
    private boolean success;

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

        ResultCode code() {
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
        this.alone = upstream.totalWaitingTokens() == 0;
        this.unread = upstream.requestStarted(work);
        forwarder.noteLoadChange();
    }

    UpstreamLoad upstream() {
        return upstream;
    }

    void onConnection(UpstreamConnection made) {
        connection = made;
    }

    /** Has the upstream's bytes read, or left where they are while the caller is slow. */
    void setReading(boolean reading) {
        UpstreamConnection open = connection;
        if (open != null && !over) {
            open.channel().config().setAutoRead(reading);
        }
    }

    /** Ends the attempt from our side. */
    void stop() {
        if (!over) {
            abortConnection();
            finish();
        }
    }

    private void abortConnection() {
        UpstreamConnection open = connection;
        if (open != null) {
            open.abort();
        }
    }

    private void finish() {
        over = true;
        if (!answered) {
            upstream.endedBeforeFirstEvent(unread);
        }
        upstream.requestEnded();
        forwarder.noteLoadChange();
    }

    private long elapsed() {
        return timers.nowMillis() - startMillis;
    }

    @Override
    public void onSent() {
        if (over) {
            // The request ended while the connection was being made.
            abortConnection();
            return;
        }
        sent = true;
        exchange.onSent();
    }

    @Override
    public void onUnreachable() {
        if (!over) {
            finish();
            upstream.connectionFailed(timers.nowMillis());
            exchange.onFailure(this, Failure.UNREACHABLE);
        }
    }

    @Override
    public void onHead(HttpResponse response) {
        if (over) {
            return;
        }
        success = response.status().codeClass() == HttpStatusClass.SUCCESS;
        failure = judge(response);
        if (failure == null) {
            answered = true;
            upstream.firstEventReceived(unread, elapsed(), alone);
            forwarder.noteLoadChange();
            exchange.onAnswer(response, success);
        }
    }

    private @Nullable Failure judge(HttpResponse response) {
        if (codec.isMisdirected(response)) {
            return Failure.MISDIRECTED;
        }
        if (codec.isNotRun(response)) {
            return Failure.DECLINED;
        }
        if (!codec.isSigned(response) || (exchange.hasStream() && !success)) {
            return Failure.BROKEN;
        }
        return !success && exchange.takeRepeat() ? Failure.REPLACED : null;
    }

    @Override
    public void onBody(ByteBuf bytes) {
        if (!over && failure == null) {
            exchange.onBody(bytes);
        }
    }

    @Override
    public void onDone() {
        if (over) {
            return;
        }
        if (failure == null && exchange.holdsPartOfEvent()) {
            failure = Failure.BROKEN;
        }
        finish();
        if (failure != null) {
            fail(failure);
            return;
        }
        if (success) {
            upstream.requestSucceeded(elapsed());
        } else {
            upstream.requestFailed();
        }
        exchange.onDone();
    }

    @Override
    public void onBroken() {
        if (!over) {
            finish();
            fail(failure == Failure.DECLINED ? Failure.DECLINED : Failure.BROKEN);
        }
    }

    private void fail(Failure reason) {
        if (reason != Failure.MISDIRECTED) {
            upstream.requestFailed();
        }
        exchange.onFailure(this, reason);
    }

    boolean wasSent() {
        return sent;
    }
}
