package dev.jayturn.daemon.link;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.virtual.VirtualNetwork;
import dev.jayturn.core.virtual.VirtualProcess;
import dev.jayturn.core.virtual.VirtualTime;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class OutboundConnectionTest {
    private static final int MESSAGE_BYTES = 1 << 20;
    private static final int MESSAGES = 40;
    private static final long MAX_UNSENT_BYTES = 10 << 20;

    /** A channel to an instance that reads nothing. */
    private static final class BlockedChannel extends EmbeddedChannel {
        @Override
        protected void doWrite(ChannelOutboundBuffer buffer) {}
    }

    @Test
    void messagesToAnInstanceThatDoesNotReadAreBounded() {
        VirtualTime time = new VirtualTime();
        OutboundConnection connection =
                new OutboundConnection(
                        new VirtualProcess("p:1", time, new VirtualNetwork(time, new Random(1))));
        BlockedChannel channel = new BlockedChannel();
        channel.pipeline().addLast(connection);
        channel.pipeline().fireChannelActive();
        for (int i = 0; i < MESSAGES; i++) {
            connection.send(new byte[MESSAGE_BYTES]);
        }
        assertThat(channel.unsafe().outboundBuffer().totalPendingWriteBytes())
                .isBetween((long) MESSAGE_BYTES, MAX_UNSENT_BYTES);
        channel.close();
    }
}
