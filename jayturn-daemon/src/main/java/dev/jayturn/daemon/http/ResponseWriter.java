package dev.jayturn.daemon.http;

import dev.jayturn.core.control.CallOutcome;
import dev.jayturn.core.result.Refusal;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.daemon.metrics.EntryMetrics;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
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

/** One request's answer on its caller's connection; used on the connection's event loop. */
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
            Runnable onAnswered) {
        this.channel = channel;
        this.requestId = requestId;
        this.keepAlive = keepAlive;
        this.metrics = metrics;
        this.onFinished = onAnswered;
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

    /** Ends a stream that cannot be whole: an error event, no end mark, and the connection. */
    private void abortStream(Refusal refusal) {
        finished = true;
        String event = "data: {\"error\":" + Responses.problemBody(refusal) + "}\n\n";
        ByteBuf bytes = Unpooled.copiedBuffer(event, StandardCharsets.UTF_8);
        channel.writeAndFlush(new DefaultHttpContent(bytes))
                .addListener(ChannelFutureListener.CLOSE);
        onFinished.run();
    }

    void replay(CallOutcome outcome) {
        writeResponse(
                ResultCode.OUTCOME_RECORDED,
                outcome.status(),
                outcome.contentType(),
                outcome.body().getBytes(StandardCharsets.UTF_8));
    }

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

    void endStream() {
        if (finished) {
            return;
        }
        finished = true;
        metrics.recordAnswer(ResultCode.OK);
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        if (!keepAlive) {
            channel.close();
        }
        onFinished.run();
    }
}
