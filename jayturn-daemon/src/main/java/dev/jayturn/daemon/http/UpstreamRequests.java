package dev.jayturn.daemon.http;

import dev.jayturn.daemon.upstream.UpstreamExchange;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;

/** Creates requests to upstreams. */
final class UpstreamRequests {
    private UpstreamRequests() {}

    static FullHttpRequest create(
            HttpMethod method, String uri, String address, String intentId, byte[] body) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, method, uri, Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, address);
        request.headers().set(UpstreamExchange.REQUEST_ID_HEADER, intentId);
        request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        return request;
    }
}
