package dev.jayturn.lab.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;

/** An HTTP server for a stand-in. */
public final class LabServer implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final int MAX_PENDING_CONNECTIONS = 1_024;

    private final EventLoopGroup group;
    private final Channel channel;

    /** Listens on an address; port 0 takes a free one. */
    public LabServer(InetSocketAddress address, int threads, LabHandler handler) {
        group = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, MAX_PENDING_CONNECTIONS)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(new HttpChannelInitializer(handler));
        channel = bootstrap.bind(address).syncUninterruptibly().channel();
    }

    /** Returns the address listened on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    @Override
    public void close() {
        channel.close().syncUninterruptibly();
        group.shutdownGracefully();
    }

    private static final class HttpChannelInitializer extends ChannelInitializer<SocketChannel> {
        private final LabHandler handler;

        HttpChannelInitializer(LabHandler handler) {
            this.handler = handler;
        }

        @Override
        protected void initChannel(SocketChannel ch) {
            ch.pipeline()
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                    .addLast(new RequestDispatcher(handler));
        }
    }

    private static final class RequestDispatcher
            extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final LabHandler handler;

        RequestDispatcher(LabHandler handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            handler.handle(ctx.channel(), request);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
