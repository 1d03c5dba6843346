package dev.jayturn.daemon.http;

import dev.jayturn.core.control.CallOutcome;
import dev.jayturn.core.result.Refusal;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.daemon.metrics.EntryMetrics;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;

/**
 * Writes the response to one request on the caller's connection. Used on the connection's event
 * loop only, except for {@link #requestId()}.
 */
final class ResponseWriter {
    private final Channel channel;
    private final String requestId;
    private final boolean keepAlive;
    private final Runnable onFinished;
    private final EntryMetrics metrics;
    private boolean headWritten;
    private boolean finished;

    ResponseWriter(
            Channel channel,
            String requestId,
            boolean keepAlive,
            EntryMetrics metrics,
            Runnable onFinished) {
        this.channel = channel;
        this.requestId = requestId;
        this.keepAlive = keepAlive;
        this.metrics = metrics;
        this.onFinished = onFinished;
    }

    String requestId() {
        return requestId;
    }

    boolean isHeadWritten() {
        return headWritten;
    }

    boolean isWritable() {
        return channel.isWritable();
    }

    /** Refuses the request, or aborts the response if its head has been written. */
    void refuse(Refusal refusal) {
        if (finished) {
            return;
        }
        metrics.recordAnswer(refusal.code());
        if (headWritten) {
            abortStream(refusal);
            return;
        }
        writeAndFinish(Responses.problem(requestId, refusal));
    }

    /**
     * Aborts an incomplete stream: writes an error event and closes the connection without the last
     * chunk, so that the caller does not mistake the stream for a complete one.
     */
    private void abortStream(Refusal refusal) {
        finished = true;
        String event = "data: {\"error\":" + Responses.problemBody(refusal) + "}\n\n";
        ByteBuf bytes = Unpooled.copiedBuffer(event, StandardCharsets.UTF_8);
        channel.writeAndFlush(new DefaultHttpContent(bytes))
                .addListener(ChannelFutureListener.CLOSE);
        onFinished.run();
    }

    /** Writes the recorded answer of an earlier call with the same idempotency key. */
    void replay(CallOutcome outcome) {
        writeResponse(
                ResultCode.OUTCOME_RECORDED,
                outcome.status(),
                outcome.contentType(),
                outcome.body().getBytes(StandardCharsets.UTF_8));
    }

    /** Writes a complete response, unless the request has been answered. */
    void writeResponse(ResultCode code, int status, String contentType, byte[] body) {
        if (!finished) {
            metrics.recordAnswer(code);
            writeAndFinish(Responses.create(requestId, code, status, contentType, body));
        }
    }

    private void writeAndFinish(FullHttpResponse response) {
        finished = true;
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        } else {
            channel.writeAndFlush(response);
        }
        onFinished.run();
    }

    /** Writes events of a stream, after the response head if it has not been written. */
    void writeEvents(ByteBuf content) {
        if (!headWritten) {
            headWritten = true;
            channel.write(createStreamHead());
        }
        channel.writeAndFlush(new DefaultHttpContent(content));
    }

    private HttpResponse createStreamHead() {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
        head.headers().set(HttpHeaderNames.CACHE_CONTROL, "no-cache");
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        head.headers().set(Responses.REQUEST_ID_HEADER, requestId);
        head.headers().set(Responses.CODE_HEADER, ResultCode.OK.number());
        return head;
    }

    /** Completes a stream, unless the request has been answered. */
    void endStream() {
        if (finished) {
            return;
        }
        finished = true;
        metrics.recordAnswer(ResultCode.OK);
        ChannelFuture written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        if (!keepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
        onFinished.run();
    }
}
