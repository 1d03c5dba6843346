package dev.jayturn.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.daemon.metrics.EntryMetrics;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import org.junit.jupiter.api.Test;

/** Responses to callers that read slowly. */
final class ResponseWriterTest {
    /** Takes no bytes, as a socket whose buffer is full. */
    private static final class FullSocket extends ChannelOutboundHandlerAdapter {
        @Override
        public void flush(ChannelHandlerContext ctx) {
            // What was written waits in the channel.
        }
    }

    /** Guards against a close that drops the end of a stream which its caller still reads. */
    @Test
    void streamIsDeliveredWholeBeforeItsConnectionCloses() {
        FullSocket socket = new FullSocket();
        EmbeddedChannel channel = new EmbeddedChannel(socket);
        EntryMetrics metrics = new EntryMetrics(new SimpleMeterRegistry());
        ResponseWriter writer = new ResponseWriter(channel, "r1", false, metrics, () -> {});
        writer.writeEvents(Unpooled.copiedBuffer(new byte[] {'x'}));
        writer.endStream();
        channel.runPendingTasks();
        assertThat(channel.isOpen()).isTrue();
        channel.pipeline().remove(socket);
        channel.flush();
        channel.runPendingTasks();
        assertThat(channel.outboundMessages()).hasSize(3);
        assertThat((Object) channel.readOutbound()).isInstanceOf(HttpResponse.class);
        HttpContent event = channel.readOutbound();
        assertThat(event.content().readableBytes()).isOne();
        event.release();
        assertThat((Object) channel.readOutbound()).isSameAs(LastHttpContent.EMPTY_LAST_CONTENT);
        assertThat(channel.isOpen()).isFalse();
    }
}
