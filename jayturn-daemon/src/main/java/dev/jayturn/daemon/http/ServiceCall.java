package dev.jayturn.daemon.http;

import dev.jayturn.core.control.CallOutcome;
import dev.jayturn.core.result.ResultCode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;

/** A call to a plain service; its answer is passed on when it is whole. */
final class ServiceCall extends HttpCall {
    private static final int MAX_RESPONSE_BYTES = 4 << 20;
    private static final int MAX_RECORDED_BODY_BYTES = 8 << 10;

    private final HttpMethod method;
    private final String uri;
    private final HttpHeaders headers;
    private final byte[] requestBody;
    private final long price;
    private final boolean repeatable;
    private final long timeoutMillis;
    private final ByteBuf responseBody = Unpooled.buffer();
    private int status;
    private String contentType = "";

    ServiceCall(
            EntryServices services,
            EventLoop eventLoop,
            ResponseWriter caller,
            ServiceRequest request,
            long price,
            boolean mayRepeat,
            long timeoutMillis) {
        super(services, eventLoop, caller);
        this.method = request.method();
        this.uri = request.uri();
        this.headers = request.headers();
        this.requestBody = request.body();
        this.price = price;
        this.repeatable = mayRepeat;
        this.timeoutMillis = timeoutMillis;
    }

    /** What the caller asked of the service. */
    record ServiceRequest(HttpMethod method, String uri, HttpHeaders headers, byte[] body) {}

    @Override
    void sendRequest(String address) {
        responseBody.clear();
        FullHttpRequest sent = UpstreamRequests.create(method, uri, address, intentId, requestBody);
        copyHeader(sent, HttpHeaderNames.CONTENT_TYPE.toString());
        copyHeader(sent, HttpHeaderNames.ACCEPT.toString());
        copyHeader(sent, "idempotency-key");
        startExchange(address, sent, timeoutMillis);
    }

    private void copyHeader(FullHttpRequest sent, String name) {
        String value = headers.get(name);
        if (value != null) {
            sent.headers().set(name, value);
        }
    }

    @Override
    public void onHead(HttpResponse head) {
        status = head.status().code();
        contentType = head.headers().get(HttpHeaderNames.CONTENT_TYPE, "application/octet-stream");
    }

    @Override
    public void onBody(ByteBuf content) {
        boolean fits = responseBody.readableBytes() + content.readableBytes() <= MAX_RESPONSE_BYTES;
        if (fits) {
            responseBody.writeBytes(content);
        }
        content.release();
        if (!fits && exchange != null) {
            exchange.abort();
            onFailed("the answer exceeds the bound");
        }
    }

    @Override
    public void onCompleted() {
        byte[] bytes = ByteBufUtil.getBytes(responseBody);
        boolean kept = bytes.length <= MAX_RECORDED_BODY_BYTES;
        CallOutcome outcome =
                new CallOutcome(
                        CallOutcome.State.RAN,
                        status,
                        contentType,
                        kept ? new String(bytes, StandardCharsets.UTF_8) : "",
                        kept);
        String intent = intentId;
        notifyCall(c -> c.onCompleted(intent, price, outcome));
        if (!callerDisconnected) {
            response.writeResponse(ResultCode.OK, status, contentType, bytes);
        }
    }

    /** A call that may not repeat goes on without its caller, so that its outcome is known. */
    @Override
    void onCallerDisconnected() {
        boolean sent = exchange != null;
        callerDisconnected = true;
        if (sent && !repeatable) {
            return;
        }
        if (exchange != null) {
            exchange.abort();
        }
        notifyCall(c -> c.onCallerDisconnected(0));
    }
}
