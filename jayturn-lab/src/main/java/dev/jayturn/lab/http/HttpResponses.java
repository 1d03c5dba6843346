package dev.jayturn.lab.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/** Whole answers. */
public final class HttpResponses {
    /** Header that binds an answer to its request. */
    public static final String REQUEST_ID_HEADER = "x-request-id";

    private HttpResponses() {}

    /** Writes an answer with a body. */
    public static void write(
            Channel channel,
            HttpResponseStatus status,
            String requestId,
            String type,
            String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(bytes));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
        if (!requestId.isEmpty()) {
            response.headers().set(REQUEST_ID_HEADER, requestId);
        }
        channel.writeAndFlush(response);
    }
}
