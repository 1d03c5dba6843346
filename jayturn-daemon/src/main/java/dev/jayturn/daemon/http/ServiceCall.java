package dev.jayturn.daemon.http;

import dev.jayturn.core.control.CallOutcome;
import dev.jayturn.core.result.ResultCode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** A call to a plain service; its response is forwarded once it has been received completely. */
final class ServiceCall extends HttpCall {
    private static final int MAX_RESPONSE_BYTES = 4 << 20;
    private static final int MAX_RECORDED_BODY_BYTES = 8 << 10;

    private static final List<CharSequence> FORWARDED_HEADERS =
            List.of(HttpHeaderNames.CONTENT_TYPE, HttpHeaderNames.ACCEPT, "idempotency-key");

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
            ResponseWriter response,
            ServiceRequest request,
            long price,
            boolean repeatable,
            long timeoutMillis) {
        super(services, eventLoop, response);
        this.method = request.method();
        this.uri = request.uri();
        this.headers = request.headers();
        this.requestBody = request.body();
        this.price = price;
        this.repeatable = repeatable;
        this.timeoutMillis = timeoutMillis;
    }

    /**
     * The caller's request.
     *
     * @param uri URI as the service sees it
     * @param headers headers that the service gets
     */
    record ServiceRequest(HttpMethod method, String uri, HttpHeaders headers, byte[] body) {}

    /** Returns the headers of a caller's request that a service gets. */
    static HttpHeaders forwardedHeaders(FullHttpRequest request) {
        HttpHeaders headers = new DefaultHttpHeaders();
        for (CharSequence name : FORWARDED_HEADERS) {
            String value = request.headers().get(name);
            if (value != null) {
                headers.set(name, value);
            }
        }
        return headers;
    }

    @Override
    void sendRequest(String address) {
        responseBody.clear();
        FullHttpRequest upstreamRequest =
                UpstreamRequests.create(method, uri, address, intentId, requestBody);
        upstreamRequest.headers().setAll(headers);
        startExchange(address, upstreamRequest, timeoutMillis);
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
            onFailed("the response exceeds the size limit");
        }
    }

    @Override
    public void onCompleted() {
        byte[] bytes = ByteBufUtil.getBytes(responseBody);
        boolean bodyKept = bytes.length <= MAX_RECORDED_BODY_BYTES;
        CallOutcome outcome =
                new CallOutcome(
                        CallOutcome.State.RAN,
                        status,
                        contentType,
                        bodyKept ? new String(bytes, StandardCharsets.UTF_8) : "",
                        bodyKept);
        String intent = intentId;
        notifyCall(c -> c.onCompleted(intent, price, outcome));
        if (!callerDisconnected) {
            response.writeResponse(ResultCode.OK, status, contentType, bytes);
        }
    }

    /**
     * Ends the call if it is repeatable or no exchange was started. Otherwise it continues without
     * its caller, so that its outcome is recorded.
     */
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
