package dev.jayturn.daemon.proxy;

import com.fasterxml.jackson.databind.json.JsonMapper;
import dev.jayturn.core.result.ResultCode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Answers of our own: a numbered code as JSON. */
final class ErrorResponses {
    private static final JsonMapper JSON = new JsonMapper();
    private static final double MILLIS_PER_SECOND = 1_000;

    private ErrorResponses() {}

    static FullHttpResponse create(ResultCode code, long retryAfterMillis) {
        String text =
                JSON.createObjectNode()
                        .put("code", code.number())
                        .put("reason", code.text())
                        .toString();
        ByteBuf body = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(code.httpStatus()), body);
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
                .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        if (retryAfterMillis > 0) {
            String seconds =
                    String.format(Locale.ROOT, "%.2f", retryAfterMillis / MILLIS_PER_SECOND);
            response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
        }
        return response;
    }
}
