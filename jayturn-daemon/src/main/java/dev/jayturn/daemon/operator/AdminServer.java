package dev.jayturn.daemon.operator;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/** A small HTTP server for operators or announcing upstreams. */
public final class AdminServer implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 64 << 20;

    private final Channel channel;

    /** Starts to listen; requests without the token, if there is one, are refused by the API. */
    public AdminServer(InetSocketAddress address, EventLoopGroup group, AdminApi api) {
        channel =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel ch) {
                                        ch.pipeline()
                                                .addLast(new HttpServerCodec())
                                                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                                .addLast(new RequestHandler(api));
                                    }
                                })
                        .bind(address)
                        .syncUninterruptibly()
                        .channel();
    }

    /** Returns the address listened on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    @Override
    public void close() {
        channel.close().syncUninterruptibly();
    }

    private static final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final AdminApi api;

        RequestHandler(AdminApi api) {
            this.api = api;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            AdminRequest asked =
                    new AdminRequest(
                            request.method().name(),
                            request.uri(),
                            request.headers().get(HttpHeaderNames.AUTHORIZATION, ""),
                            request.content().toString(StandardCharsets.UTF_8));
            api.handle(asked, reply -> writeResponse(ctx.channel(), reply));
        }

        private static void writeResponse(Channel channel, AdminResponse reply) {
            byte[] bytes = reply.body().getBytes(StandardCharsets.UTF_8);
            FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(reply.status()),
                            Unpooled.wrappedBuffer(bytes));
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, reply.contentType());
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
            channel.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
