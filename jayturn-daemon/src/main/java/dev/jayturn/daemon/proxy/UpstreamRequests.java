package dev.jayturn.daemon.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;

/** Creates the requests that are sent to upstreams. */
final class UpstreamRequests {
    private UpstreamRequests() {}

    /** Returns a caller's request with the headers for an upstream; it retains the body. */
    static FullHttpRequest create(
            HeaderCodec codec, HttpRequest head, ByteBuf body, UpstreamRequestMetadata metadata) {
        HttpHeaders headers = codec.upstreamHeaders(head, metadata);
        if (body.isReadable() || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                head.method(),
                head.uri(),
                body.retainedDuplicate(),
                headers,
                new DefaultHttpHeaders());
    }
}
