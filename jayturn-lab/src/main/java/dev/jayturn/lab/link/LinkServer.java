package dev.jayturn.lab.link;

import dev.jayturn.lab.http.HttpResponses;
import dev.jayturn.lab.http.LabServer;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Forwards TCP connections over one shared link. While it is cut nothing passes and nothing is
 * closed, as in a silent partition. POST /cut and /heal change that; GET /bytes counts.
 */
public final class LinkServer implements AutoCloseable {
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Link link;
    private final LabServer adminServer;

    /** Starts to forward each listening address to its target. */
    public LinkServer(
            Map<InetSocketAddress, InetSocketAddress> forwards,
            long delayMillis,
            long kilobits,
            InetSocketAddress adminAddress) {
        link = new Link(delayMillis, kilobits);
        forwards.forEach(this::listen);
        adminServer =
                new LabServer(
                        adminAddress,
                        1,
                        (channel, request) -> handleAdminRequest(channel, request.uri()));
    }

    private void handleAdminRequest(Channel channel, String uri) {
        if (uri.equals("/cut") || uri.equals("/heal")) {
            link.setCut(uri.equals("/cut"));
        }
        HttpResponses.write(
                channel, HttpResponseStatus.OK, "", "text/plain", link.transferredBytes() + "\n");
    }

    private void listen(InetSocketAddress from, InetSocketAddress to) {
        new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel near) {
                                connect(near, to);
                            }
                        })
                .bind(from)
                .syncUninterruptibly();
    }

    private void connect(SocketChannel near, InetSocketAddress to) {
        ChannelFuture connecting =
                new Bootstrap()
                        .group(near.eventLoop())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.AUTO_READ, false)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(new ChannelInboundHandlerAdapter())
                        .connect(to);
        Channel far = connecting.channel();
        near.pipeline().addLast(new Forwarder(far));
        connecting.addListener(
                future -> {
                    if (!future.isSuccess()) {
                        near.close();
                        return;
                    }
                    far.pipeline().addLast(new Forwarder(near));
                    near.config().setAutoRead(true);
                    far.config().setAutoRead(true);
                });
    }

    @Override
    public void close() {
        adminServer.close();
        group.shutdownGracefully();
    }

    private final class Forwarder extends ChannelInboundHandlerAdapter {
        private static final long CUT_POLL_INTERVAL_MILLIS = 20;

        private final Channel peer;

        Forwarder(Channel other) {
            this.peer = other;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (!(message instanceof ByteBuf bytes)) {
                ReferenceCountUtil.release(message);
                return;
            }
            long wait = link.scheduleTransfer(bytes.readableBytes());
            ctx.executor().schedule(() -> forward(ctx, bytes), wait, TimeUnit.NANOSECONDS);
        }

        /** TCP keeps what it could not deliver and sends it once the link is back. */
        private void forward(ChannelHandlerContext ctx, ByteBuf bytes) {
            if (link.isCut()) {
                ctx.executor()
                        .schedule(
                                () -> forward(ctx, bytes),
                                CUT_POLL_INTERVAL_MILLIS,
                                TimeUnit.MILLISECONDS);
                return;
            }
            peer.writeAndFlush(bytes);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (!link.isCut()) {
                peer.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
