package dev.jayturn.daemon.http;

import dev.jayturn.core.control.CallOutcome;
import dev.jayturn.core.membership.Upstream;
import dev.jayturn.core.request.Call;
import dev.jayturn.core.request.CallPort;
import dev.jayturn.core.request.CallSpec;
import dev.jayturn.core.result.Refusal;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.daemon.upstream.ExchangeListener;
import dev.jayturn.daemon.upstream.UpstreamExchange;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Base class of calls to model engines and to plain services. The {@link Call} runs on the control
 * loop, everything else on the event loop of the caller's connection.
 */
abstract class HttpCall implements CallPort, ExchangeListener {
    final EntryServices services;
    final EventLoop eventLoop;
    final ResponseWriter response;

    /**
     * Id under which the call was last dispatched to an upstream, unique per request and attempt;
     * empty before the first dispatch.
     */
    String intentId = "";

    @Nullable Upstream upstream;
    @Nullable UpstreamExchange exchange;
    boolean callerDisconnected;
    private final long startNanos = System.nanoTime();
    private @Nullable Call call;

    HttpCall(EntryServices services, EventLoop eventLoop, ResponseWriter response) {
        this.services = services;
        this.eventLoop = eventLoop;
        this.response = response;
    }

    /** Starts the call. Runs on the control loop. */
    final void start(CallSpec spec) {
        call = services.entry().start(spec, this);
    }

    /** Passes an event to the call, on the control loop. */
    final void notifyCall(Consumer<Call> notification) {
        services.controlLoop()
                .execute(
                        () -> {
                            if (call != null) {
                                notification.accept(call);
                            }
                        });
    }

    final long elapsedNanos() {
        return System.nanoTime() - startNanos;
    }

    @Override
    public final void dispatch(String dispatchedIntentId, Upstream dispatchedUpstream) {
        eventLoop.execute(
                () -> {
                    if (callerDisconnected) {
                        return;
                    }
                    services.metrics().recordTimeToDispatch(elapsedNanos());
                    intentId = dispatchedIntentId;
                    upstream = dispatchedUpstream;
                    sendRequest(dispatchedUpstream.address());
                });
    }

    /** Sends the request to the upstream at the given address. */
    abstract void sendRequest(String address);

    final void startExchange(String address, FullHttpRequest request, long timeoutMillis) {
        exchange =
                UpstreamExchange.start(
                        services.upstreamPools(), eventLoop, address, request, timeoutMillis, this);
    }

    @Override
    public final void refuse(Refusal refusal) {
        eventLoop.execute(() -> response.refuse(refusal));
    }

    @Override
    public final void replay(CallOutcome outcome) {
        eventLoop.execute(() -> response.replay(outcome));
    }

    /** Handles a response that belongs to another request. */
    @Override
    public final void onMisdirected(String otherId) {
        services.metrics().recordMisdirectedAnswer();
        reportFailure(ResultCode.UPSTREAM_FAILED);
    }

    @Override
    public void onNotSent(String detail) {
        String intent = intentId;
        notifyCall(c -> c.onNotSent(intent, detail));
    }

    @Override
    public void onFailed(String detail) {
        // Must match the detail that UpstreamExchange.start passes when the timeout expires.
        boolean timedOut = detail.equals("timed out");
        reportFailure(timedOut ? ResultCode.UPSTREAM_TIMEOUT : ResultCode.UPSTREAM_FAILED);
    }

    /** Reports a failure after a part of the request may have reached the upstream. */
    void reportFailure(ResultCode code) {
        String intent = intentId;
        notifyCall(c -> c.onUpstreamFailed(intent, false, 0, code));
    }

    /** Handles the close of the caller's connection. Runs on its event loop. */
    abstract void onCallerDisconnected();

    /**
     * Pauses reading from the upstream while the caller's connection is not writable. Runs on its
     * event loop.
     */
    void onWritabilityChanged() {
        if (exchange != null) {
            exchange.setReading(response.isWritable());
        }
    }
}
