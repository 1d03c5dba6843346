package dev.jayturn.daemon.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.jayturn.core.result.Refusal;
import dev.jayturn.core.result.ResultCode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Creates responses to callers, including problem details (RFC 9457) for refusals. */
final class Responses {
    static final String REQUEST_ID_HEADER = "x-request-id";
    static final String CODE_HEADER = "x-jayturn-code";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1_000;

    private Responses() {}

    /** Returns the problem details of a refusal as JSON. */
    static String problemBody(Refusal refusal) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("type", "about:blank");
        node.put("title", refusal.code().text());
        node.put("status", refusal.code().httpStatus());
        node.put("code", refusal.code().number());
        node.put("notRun", refusal.notRun().name().toLowerCase(Locale.ROOT));
        if (!refusal.detail().isEmpty()) {
            node.put("detail", refusal.detail());
        }
        return node.toString();
    }

    /** Creates a problem response, with a {@code Retry-After} header if the refusal has a delay. */
    static FullHttpResponse problem(String requestId, Refusal refusal) {
        byte[] bytes = problemBody(refusal).getBytes(StandardCharsets.UTF_8);
        FullHttpResponse response =
                create(
                        requestId,
                        refusal.code(),
                        refusal.code().httpStatus(),
                        "application/problem+json",
                        bytes);
        if (refusal.retryAfterMillis() > 0) {
            long seconds = (refusal.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
        }
        return response;
    }

    static FullHttpResponse create(
            String requestId, ResultCode code, int status, String contentType, byte[] body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        response.headers().set(REQUEST_ID_HEADER, requestId);
        response.headers().set(CODE_HEADER, code.number());
        return response;
    }
}
