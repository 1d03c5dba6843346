package dev.jayturn.daemon.proxy;

import dev.jayturn.core.timer.TimerService;
import dev.jayturn.daemon.link.LinkMeter;
import dev.jayturn.daemon.upstream.UpstreamResponseDecoder;
import dev.jayturn.daemon.upstream.UpstreamSocket;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import java.util.function.Supplier;
import jdk.net.ExtendedSocketOptions;
import org.jspecify.annotations.Nullable;

/** The open connections to one upstream, of which idle ones are reused. */
final class UpstreamConnectionPool {
    private static final int CONNECT_TIMEOUT_MILLIS = 700;

    /** TCP keepalive detects connections whose peer has become unreachable. */
    private static final int TCP_KEEPALIVE_IDLE_SECONDS = 1;

    private static final int TCP_KEEPALIVE_INTERVAL_SECONDS = 1;
    private static final int TCP_KEEPALIVE_PROBES = 2;

    private final EventLoop loop;
    private final TimerService timers;
    private final HeaderCodec codec;
    private final LinkMeter meter;
    private final InetSocketAddress address;
    private final @Nullable InetSocketAddress source;
    private final Deque<UpstreamConnection> idleConnections = new ArrayDeque<>();
    private int connectionCount;

    UpstreamConnectionPool(
            EventLoop loop,
            TimerService timers,
            HeaderCodec codec,
            LinkMeter meter,
            InetSocketAddress address,
            @Nullable InetSocketAddress source) {
        this.loop = loop;
        this.timers = timers;
        this.codec = codec;
        this.meter = meter;
        this.address = address;
        this.source = source;
    }

    /** Returns the number of connections, including those that are being opened. */
    int connectionCount() {
        return connectionCount;
    }

    /** Returns whether a request can be sent without exceeding a limit on connections. */
    boolean hasCapacity(int maxConnections) {
        return connectionCount < maxConnections || !idleConnections.isEmpty();
    }

    /**
     * Sends a request on an idle or new connection, which is first passed to the consumer.
     *
     * @param request creates the request once there is a connection that it can be written to
     */
    void send(
            Supplier<FullHttpRequest> request,
            String id,
            UpstreamListener listener,
            Consumer<UpstreamConnection> onConnection) {
        long nowMillis = timers.nowMillis();
        UpstreamConnection reused = idleConnections.pollLast();
        while (reused != null && !reused.canCarry(id, nowMillis)) {
            reused.channel().close();
            reused = idleConnections.pollLast();
        }
        if (reused != null) {
            onConnection.accept(reused);
            reused.send(request, id, listener);
            return;
        }
        connectionCount++;
        ChannelFuture connecting = bootstrap().connect(address, source);
        connecting.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        connectionCount--;
                        listener.onUnreachable();
                        return;
                    }
                    UpstreamConnection opened =
                            connecting.channel().pipeline().get(UpstreamConnection.class);
                    onConnection.accept(opened);
                    opened.send(request, id, listener);
                });
    }

    private Bootstrap bootstrap() {
        return new Bootstrap()
                .group(loop)
                .channelFactory(UpstreamSocket::new)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(
                        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE),
                        TCP_KEEPALIVE_IDLE_SECONDS)
                .option(
                        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
                        TCP_KEEPALIVE_INTERVAL_SECONDS)
                .option(
                        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT),
                        TCP_KEEPALIVE_PROBES)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(
                        new ChannelInitializer<UpstreamSocket>() {
                            @Override
                            protected void initChannel(UpstreamSocket channel) {
                                UpstreamResponseDecoder decoder = new UpstreamResponseDecoder();
                                channel.pipeline()
                                        .addLast(meter)
                                        .addLast(new HttpRequestEncoder())
                                        .addLast(decoder)
                                        .addLast(
                                                new UpstreamConnection(
                                                        UpstreamConnectionPool.this,
                                                        codec,
                                                        channel,
                                                        decoder,
                                                        timers));
                            }
                        });
    }

    /** Makes a connection available for the next request. */
    void release(UpstreamConnection connection) {
        connection.setIdleSince(timers.nowMillis());
        idleConnections.addLast(connection);
    }

    void onClosed(UpstreamConnection connection) {
        connectionCount--;
        idleConnections.remove(connection);
    }

    /** Closes the idle connections whose idle timeout has passed, or all idle connections. */
    void closeIdleConnections(boolean all) {
        long nowMillis = timers.nowMillis();
        for (UpstreamConnection connection : idleConnections.toArray(new UpstreamConnection[0])) {
            if (all || !connection.isUsable(nowMillis)) {
                connection.channel().close();
            }
        }
    }
}
