package dev.jayturn.daemon.head;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** What the codec of a connection keeps, and how it encodes the responses. */
final class RequestCodecTest {
    private static final int DISCARDED_REQUESTS = 10_000;
    private static final int MANY_LINES = 1_000;
    private static final long CAPACITY_BYTES = 1 << 20;

    /** As that of a connection that closes: decodes everything, to discard it. */
    private static final class OpenGate implements RequestGate {
        @Override
        public boolean isPaused() {
            return false;
        }

        @Override
        public boolean isReadingStopped() {
            return false;
        }

        @Override
        public boolean isRunning() {
            return false;
        }

        @Override
        public void onHeadRefused() {}
    }

    private final HeadMemory memory =
            new HeadMemory(CAPACITY_BYTES, (part, occupiedBytes, chargedBytes) -> {});
    private final RequestCodec codec =
            new RequestCodec(new HttpDecoderConfig(), memory, "test", new OpenGate());
    private final EmbeddedChannel channel = new EmbeddedChannel(codec);

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        channel.releaseInbound();
    }

    private String respond() {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.OK,
                        Unpooled.copiedBuffer("body", StandardCharsets.ISO_8859_1));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 4);
        channel.writeOutbound(response);
        StringBuilder sent = new StringBuilder();
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            sent.append(part.toString(StandardCharsets.ISO_8859_1));
            part.release();
        }
        return sent.toString();
    }

    @Test
    void requestsThatAreDiscardedUnansweredLeaveNothingBehind() {
        for (int i = 0; i < DISCARDED_REQUESTS; i++) {
            receive("M" + i + " / HTTP/1.1\r\n\r\n");
        }
        assertThat(codec.unansweredRequests()).isLessThanOrEqualTo(1);
        channel.finishAndReleaseAll();
    }

    @Test
    void onlyResponsesToHeadRequestsHaveNoBody() {
        receive("HEAD / HTTP/1.1\r\n\r\n");
        assertThat(respond()).endsWith("\r\n\r\n");
        receive("GET / HTTP/1.1\r\n\r\n");
        assertThat(respond()).endsWith("\r\n\r\nbody");
        channel.finishAndReleaseAll();
    }

    @Test
    void firstUnansweredRequestDecidesAboutTheBodyOfTheResponse() {
        receive("GET / HTTP/1.1\r\n\r\nHEAD / HTTP/1.1\r\n\r\n");
        assertThat(respond()).endsWith("\r\n\r\nbody");
        channel.finishAndReleaseAll();
    }

    @Test
    void compactRequestHasTheHeadersThatWereReceived() {
        StringBuilder head =
                new StringBuilder("POST /a?b=c HTTP/1.1\r\nx-a: 1: 2\r\nx-a:\r\nx-b: \u00e9\r\n");
        head.append("a:\r\n".repeat(MANY_LINES)).append("\r\n");
        channel.writeInbound(Unpooled.copiedBuffer(head, StandardCharsets.ISO_8859_1));
        HttpRequest request = channel.readInbound();
        String received = request.headers().entries().toString();
        long chargedBytes = memory.chargedBytes();
        HttpRequest compact = codec.compact(request);
        assertThat(compact.headers().entries().toString()).isEqualTo(received);
        assertThat(compact.headers().size()).isEqualTo(MANY_LINES + 3);
        assertThat(compact.headers().getAll("X-A")).containsExactly("1: 2", "");
        assertThat(compact.uri()).isEqualTo("/a?b=c");
        assertThat(memory.chargedBytes()).isLessThan(chargedBytes / 10);
        codec.releaseHead();
        assertThat(memory.chargedBytes()).isZero();
        channel.finishAndReleaseAll();
    }

    @Test
    void requestWithAnOrdinaryHeadIsKeptAsItIs() {
        channel.writeInbound(
                Unpooled.copiedBuffer(
                        "GET / HTTP/1.1\r\nHost: h\r\n\r\n", StandardCharsets.US_ASCII));
        HttpRequest request = channel.readInbound();
        assertThat(codec.compact(request)).isSameAs(request);
        channel.finishAndReleaseAll();
    }
}
