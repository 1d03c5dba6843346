package dev.jayturn.lab.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/** Writes complete HTTP responses. */
public final class HttpResponses {
    /** Header that ties a response to its request. */
    public static final String REQUEST_ID_HEADER = "x-request-id";

    private HttpResponses() {}

    /** Writes a response with a body; an empty request id adds no header. */
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
