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
 * What calls to model engines and to plain services have in common. The decision logic runs on the
 * control loop, everything else on the caller's event loop.
 */
abstract class HttpCall implements CallPort, ExchangeListener {
    final EntryServices services;
    final EventLoop eventLoop;
    final ResponseWriter response;
    String intentId = "";
    @Nullable Upstream upstream;
    @Nullable UpstreamExchange exchange;
    boolean callerDisconnected;
    private final long startNanos = System.nanoTime();
    private @Nullable Call call;

    HttpCall(EntryServices services, EventLoop eventLoop, ResponseWriter caller) {
        this.services = services;
        this.eventLoop = eventLoop;
        this.response = caller;
    }

    /** Starts the call; on the control loop. */
    final void start(CallSpec spec) {
        call = services.entry().start(spec, this);
    }

    final void notifyCall(Consumer<Call> news) {
        services.controlLoop()
                .execute(
                        () -> {
                            if (call != null) {
                                news.accept(call);
                            }
                        });
    }

    final long elapsedNanos() {
        return System.nanoTime() - startNanos;
    }

    @Override
    public final void dispatch(String intent, Upstream chosen) {
        eventLoop.execute(
                () -> {
                    if (callerDisconnected) {
                        return;
                    }
                    services.metrics().recordTimeToDispatch(elapsedNanos());
                    intentId = intent;
                    upstream = chosen;
                    sendRequest(chosen.address());
                });
    }

    /** Sends the request to the upstream. */
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
        boolean late = detail.equals("timed out");
        reportFailure(late ? ResultCode.UPSTREAM_TIMEOUT : ResultCode.UPSTREAM_FAILED);
    }

    void reportFailure(ResultCode code) {
        String intent = intentId;
        notifyCall(c -> c.onUpstreamFailed(intent, false, 0, code));
    }

    /** The caller's connection closed; on its event loop. */
    abstract void onCallerDisconnected();

    /** The caller's connection can or cannot take more; on its event loop. */
    void onWritabilityChanged() {
        if (exchange != null) {
            exchange.setReading(response.isWritable());
        }
    }
}
