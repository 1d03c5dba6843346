package dev.jayturn.daemon.operator;

import dev.jayturn.daemon.api.ApiConnection;
import dev.jayturn.daemon.api.ApiLimits;
import dev.jayturn.daemon.api.RequestHandler;
import dev.jayturn.daemon.head.RequestMemory;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/** A small HTTP server for operators or announcing upstreams. */
public final class AdminServer implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 64 << 20;

    private final String part;
    private final RequestMemory memory;
    private final AdminApi api;
    private final Channel channel;

    /**
     * Starts to listen at an address; the API checks the bearer token of each request.
     *
     * @param part name of the address in metrics
     */
    public AdminServer(
            String part,
            InetSocketAddress address,
            EventLoopGroup group,
            RequestMemory memory,
            AdminApi api) {
        this.part = part;
        this.memory = memory;
        this.api = api;
        channel =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel socketChannel) {
                                        initConnection(socketChannel);
                                    }
                                })
                        .bind(address)
                        .syncUninterruptibly()
                        .channel();
    }

    private void initConnection(SocketChannel socketChannel) {
        RequestMemory.Part ofLoop = memory.of(socketChannel.eventLoop());
        int maxBodyBytes = (int) Math.min(MAX_BODY_BYTES, ofLoop.bodies().largestClaimBytes());
        ApiConnection.init(
                socketChannel,
                new ApiLimits(part, ofLoop.heads(), ofLoop.bodies(), maxBodyBytes, true),
                this::handle);
    }

    private void handle(FullHttpRequest request, RequestHandler.Responder responder) {
        AdminRequest adminRequest =
                new AdminRequest(
                        request.method().name(),
                        request.uri(),
                        request.headers().get(HttpHeaderNames.AUTHORIZATION, ""),
                        request.content().toString(StandardCharsets.UTF_8));
        api.handle(
                adminRequest,
                response ->
                        responder.send(
                                response.status(),
                                response.contentType(),
                                response.body().getBytes(StandardCharsets.UTF_8)));
    }

    /** Returns the local address of the server, with the port that was bound. */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    @Override
    public void close() {
        channel.close().syncUninterruptibly();
    }
}
