package dev.jayturn.daemon.proxy;

import dev.jayturn.daemon.head.HeadMemory;
import dev.jayturn.daemon.head.RequestCodec;
import dev.jayturn.daemon.link.ServerSockets;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Accepts the connections of callers. */
public final class ProxyServer {
    private static final int MAX_INITIAL_LINE_BYTES = 16_384;
    private static final int MAX_CHUNK_BYTES = 16_384;

    /**
     * Bytes buffered for a slow caller above which reading from the upstream stops, until fewer
     * than the low water mark are left.
     */
    private static final int WRITE_HIGH_WATER_MARK_BYTES = 128 * 1_024;

    private static final int WRITE_LOW_WATER_MARK_BYTES = 32 * 1_024;

    /** Idle time after which a connection is closed during a drain. */
    private static final long MIN_IDLE_MILLIS = 300;

    private static final long TIMEOUT_CHECK_INTERVAL_MILLIS = 500;

    /** Reads from one connection before others have their turn. */
    private static final int MAX_READS = 16;

    private final EventLoop loop;
    private final Forwarder forwarder;
    private final HeadMemory headMemory;
    private final Set<CallerConnection> connections = new LinkedHashSet<>();
    private @Nullable Channel serverChannel;
    private @Nullable ServerSocketChannel serverSocket;

    public ProxyServer(EventLoop loop, Forwarder forwarder, HeadMemory headMemory) {
        this.loop = loop;
        this.forwarder = forwarder;
        this.headMemory = headMemory;
        forwarder.timers().every(TIMEOUT_CHECK_INTERVAL_MILLIS, this::closeTimedOutConnections);
    }

    /** Accepts the callers that connect to a socket. */
    public void accept(ServerSocketChannel socket) {
        serverSocket = socket;
        serverChannel = ServerSockets.accept(loop, socket, this::initChannel);
    }

    private void initChannel(Channel channel) {
        int maxHeaderBytes = forwarder.limits().maxHeaderBytes();
        channel.config()
                .setWriteBufferWaterMark(
                        new WriteBufferWaterMark(
                                WRITE_LOW_WATER_MARK_BYTES, WRITE_HIGH_WATER_MARK_BYTES));
        // Reads to the end of what has arrived, so that it is noticed before a request is sent on
        // that its caller has left.
        AdaptiveRecvByteBufAllocator allocator = new AdaptiveRecvByteBufAllocator();
        allocator.maxMessagesPerRead(MAX_READS);
        allocator.respectMaybeMoreData(false);
        channel.config().setRecvByteBufAllocator(allocator);
        HttpDecoderConfig config =
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
                        .setMaxHeaderSize(maxHeaderBytes)
                        .setMaxChunkSize(MAX_CHUNK_BYTES);
        CallerConnection connection = new CallerConnection(forwarder, this);
        RequestCodec codec = new RequestCodec(config, headMemory, "callers", connection);
        connection.setCodec(codec);
        channel.pipeline().addLast(forwarder.callerLinkMeter()).addLast(codec).addLast(connection);
    }

    void addConnection(CallerConnection connection) {
        connections.add(connection);
    }

    void removeConnection(CallerConnection connection) {
        connections.remove(connection);
    }

    private void closeTimedOutConnections() {
        long nowMillis = forwarder.timers().nowMillis();
        for (CallerConnection connection : new ArrayList<>(connections)) {
            connection.closeIfTimedOut(nowMillis);
        }
    }

    /**
     * Closes the connections that have been idle for some time, and the others after the response
     * in progress. One that was accepted or used just now may have a request on its way.
     */
    public void closeIdleConnections() {
        long nowMillis = forwarder.timers().nowMillis();
        for (CallerConnection connection : new ArrayList<>(connections)) {
            connection.closeWhenIdle(nowMillis - MIN_IDLE_MILLIS);
        }
    }

    /** Stops accepting connections, except those that callers have opened already. */
    public void stopListening() {
        Channel channel = serverChannel;
        ServerSocketChannel socket = serverSocket;
        if (channel != null && socket != null) {
            ServerSockets.close(channel, socket);
        }
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return connections.size();
    }
}
