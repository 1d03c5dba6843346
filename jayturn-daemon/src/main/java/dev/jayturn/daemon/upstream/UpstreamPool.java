package dev.jayturn.daemon.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Idle connections of one event loop by upstream. A connection serves one exchange at a time and
 * comes back only after a whole answer.
 */
final class UpstreamPool {
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final long IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final int MAX_IDLE_PER_UPSTREAM = 256;

    private final EventLoop eventLoop;
    private final Map<String, Deque<IdleConnection>> idleByAddress = new HashMap<>();

    private record IdleConnection(Channel channel, long idleSinceNanos) {}

    /** Told of a connection, on the event loop. */
    interface ConnectionCallback {
        void onConnected(Channel channel);

        void onFailed(Throwable cause);
    }

    UpstreamPool(EventLoop loop) {
        this.eventLoop = loop;
    }

    void acquire(String address, ConnectionCallback taker) {
        Channel channel = acquireIdle(address);
        if (channel != null) {
            taker.onConnected(channel);
            return;
        }
        ChannelFuture connecting = connect(address);
        connecting.addListener(
                future -> {
                    if (future.isSuccess()) {
                        taker.onConnected(connecting.channel());
                    } else {
                        taker.onFailed(future.cause());
                    }
                });
    }

    private @Nullable Channel acquireIdle(String address) {
        Deque<IdleConnection> channels = idleByAddress.get(address);
        while (channels != null && !channels.isEmpty()) {
            IdleConnection candidate = channels.removeLast();
            boolean fresh = System.nanoTime() - candidate.idleSinceNanos() < IDLE_TIMEOUT_NANOS;
            if (fresh && candidate.channel().isActive()) {
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
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel ch) {
                                ch.pipeline().addLast(new HttpClientCodec());
                            }
                        })
                .connect(target);
    }

    void release(String address, Channel channel) {
        Deque<IdleConnection> channels =
                idleByAddress.computeIfAbsent(address, a -> new ArrayDeque<>());
        if (!channel.isActive() || channels.size() >= MAX_IDLE_PER_UPSTREAM) {
            channel.close();
            return;
        }
        channels.addLast(new IdleConnection(channel, System.nanoTime()));
    }
}
