package dev.jayturn.daemon.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Connection pool of one event loop, by upstream. A connection serves one exchange at a time and is
 * released to the pool only after a complete response.
 */
final class UpstreamPool {
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final long IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final int MAX_IDLE_PER_UPSTREAM = 256;
    private static final IdleHandler IDLE_HANDLER = new IdleHandler();

    private final EventLoop eventLoop;
    private final Map<String, Deque<IdleConnection>> idleByAddress = new HashMap<>();

    /**
     * Closes an idle connection on which bytes arrive, because they would be taken for the start of
     * the response to the next request, or that the upstream has closed.
     */
    @Sharable
    private static final class IdleHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ReferenceCountUtil.release(message);
            ctx.close();
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                ctx.close();
            }
        }
    }

    private record IdleConnection(Channel channel, long idleSinceNanos) {}

    /** Receives an acquired connection or the failure to connect, on the event loop. */
    interface ConnectionCallback {
        void onConnected(Channel channel);

        void onFailed(Throwable cause);
    }

    UpstreamPool(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    /** Acquires an idle connection to the address, or opens one. */
    void acquire(String address, ConnectionCallback callback) {
        Channel channel = acquireIdle(address);
        if (channel != null) {
            callback.onConnected(channel);
            return;
        }
        ChannelFuture connectFuture = connect(address);
        connectFuture.addListener(
                future -> {
                    if (future.isSuccess()) {
                        callback.onConnected(connectFuture.channel());
                    } else {
                        callback.onFailed(future.cause());
                    }
                });
    }

    private @Nullable Channel acquireIdle(String address) {
        Deque<IdleConnection> idleConnections = idleByAddress.get(address);
        while (idleConnections != null && !idleConnections.isEmpty()) {
            IdleConnection candidate = idleConnections.removeLast();
            boolean withinTimeout =
                    System.nanoTime() - candidate.idleSinceNanos() < IDLE_TIMEOUT_NANOS;
            if (withinTimeout && candidate.channel().isActive()) {
                candidate.channel().pipeline().remove(IDLE_HANDLER);
                return candidate.channel();
            }
            candidate.channel().close();
        }
        return null;
    }

    private ChannelFuture connect(String address) {
        int colon = address.lastIndexOf(':');
        InetSocketAddress target =
                new InetSocketAddress(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1)));
        return new Bootstrap()
                .group(eventLoop)
                .channelFactory(UpstreamSocket::new)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel ch) {
                                ch.pipeline()
                                        .addLast(new HttpRequestEncoder())
                                        .addLast(new UpstreamResponseDecoder());
                            }
                        })
                .connect(target);
    }

    /** Returns a connection to the pool, or closes it if the pool is full. */
    void release(String address, Channel channel) {
        Deque<IdleConnection> idleConnections =
                idleByAddress.computeIfAbsent(address, key -> new ArrayDeque<>());
        if (!channel.isActive() || idleConnections.size() >= MAX_IDLE_PER_UPSTREAM) {
            channel.close();
            return;
        }
        channel.pipeline().addFirst(IDLE_HANDLER);
        idleConnections.addLast(new IdleConnection(channel, System.nanoTime()));
    }
}
