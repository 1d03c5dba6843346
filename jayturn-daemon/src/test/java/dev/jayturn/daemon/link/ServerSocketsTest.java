package dev.jayturn.daemon.link;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
final class ServerSocketsTest {
    private static final int CALLERS = 50;

    private static void answerFirstBytes(Channel channel) {
        channel.pipeline()
                .addLast(
                        new ChannelInboundHandlerAdapter() {
                            @Override
                            public void channelRead(ChannelHandlerContext ctx, Object message) {
                                ReferenceCountUtil.release(message);
                                ctx.writeAndFlush(
                                                Unpooled.copiedBuffer(
                                                        "ready", StandardCharsets.UTF_8))
                                        .addListener(ChannelFutureListener.CLOSE);
                            }
                        });
    }

    @Test
    void callersThatConnectBeforeTheEventLoopAcceptsAreAnswered() throws IOException {
        EventLoop loop =
                (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        List<Socket> callers = new ArrayList<>();
        try (ServerSocketChannel socket =
                ServerSockets.open(new InetSocketAddress("127.0.0.1", 0))) {
            for (int i = 0; i < CALLERS; i++) {
                Socket caller = new Socket("127.0.0.1", socket.socket().getLocalPort());
                caller.getOutputStream().write('x');
                callers.add(caller);
            }
            loop.execute(
                    () -> ServerSockets.accept(loop, socket, ServerSocketsTest::answerFirstBytes));
            for (Socket caller : callers) {
                byte[] answer = caller.getInputStream().readAllBytes();
                assertThat(new String(answer, StandardCharsets.UTF_8)).isEqualTo("ready");
            }
        } finally {
            for (Socket caller : callers) {
                caller.close();
            }
            loop.parent().shutdownGracefully();
        }
    }
}
