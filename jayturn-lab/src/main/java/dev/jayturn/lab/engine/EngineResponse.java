package dev.jayturn.lab.engine;

import dev.jayturn.lab.engine.EngineOptions.Fault;
import dev.jayturn.lab.http.HttpResponses;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** Writes a sequence's tokens to its caller, as server-sent events or as one answer. */
final class EngineResponse implements Sequence.Listener {
    private static final long LATE_FAULT_DELAY_MILLIS = 3_000;

    private final Channel channel;
    private final String id;
    private final String model;
    private final boolean streaming;
    private final Fault fault;
    private boolean headerWritten;

    EngineResponse(Channel channel, String id, String model, boolean stream, Fault fault) {
        this.channel = channel;
        this.id = id;
        this.model = model;
        this.streaming = stream;
        this.fault = fault;
    }

    @Override
    public void onToken(Sequence sequence, int index, boolean last) {
        boolean middle = index >= sequence.tokenCount() / 2;
        if (fault == Fault.STALL && middle) {
            return;
        }
        if (fault == Fault.BREAK && middle) {
            channel.close();
            return;
        }
        if (fault == Fault.LATE) {
            channel.eventLoop()
                    .schedule(
                            () -> writeToken(sequence, index, last),
                            LATE_FAULT_DELAY_MILLIS,
                            TimeUnit.MILLISECONDS);
            return;
        }
        writeToken(sequence, index, last);
    }

    private void writeToken(Sequence sequence, int index, boolean last) {
        if (streaming) {
            writeEvent(sequence, index, last);
        } else if (last) {
            writeCompletion(sequence);
        }
    }

    private void writeEvent(Sequence sequence, int index, boolean last) {
        StringBuilder text = new StringBuilder();
        text.append("data: {\"id\":\"").append(id);
        text.append("\",\"object\":\"chat.completion.chunk\",\"model\":\"").append(model);
        text.append("\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"");
        text.append(sequence.tokenText(index)).append("\"},\"finish_reason\":null}]}\n\n");
        if (last) {
            text.append("data: {\"id\":\"").append(id);
            text.append("\",\"object\":\"chat.completion.chunk\",\"model\":\"").append(model);
            text.append("\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],");
            text.append(usageJson(sequence)).append("}\n\ndata: [DONE]\n\n");
        }
        byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
        channel.eventLoop().execute(() -> writeChunk(bytes, last));
    }

    private void writeChunk(byte[] bytes, boolean last) {
        if (!headerWritten) {
            headerWritten = true;
            channel.write(createHeader());
        }
        channel.write(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
        if (last) {
            channel.write(LastHttpContent.EMPTY_LAST_CONTENT);
        }
        channel.flush();
    }

    private HttpResponse createHeader() {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        head.headers().set(HttpResponses.REQUEST_ID_HEADER, id);
        return head;
    }

    private void writeCompletion(Sequence sequence) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < sequence.tokenCount(); i++) {
            text.append(sequence.tokenText(i));
        }
        String body =
                "{\"id\":\""
                        + id
                        + "\",\"object\":\"chat.completion\",\"model\":\""
                        + model
                        + "\",\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\","
                        + "\"content\":\""
                        + text
                        + "\"},\"finish_reason\":\"stop\"}],"
                        + usageJson(sequence)
                        + "}";
        HttpResponses.write(channel, HttpResponseStatus.OK, id, "application/json", body);
    }

    private static String usageJson(Sequence sequence) {
        int prompt = sequence.promptTokenCount();
        int completion = sequence.tokenCount();
        return "\"usage\":{\"prompt_tokens\":"
                + prompt
                + ",\"completion_tokens\":"
                + completion
                + ",\"total_tokens\":"
                + (prompt + completion)
                + "}";
    }
}
