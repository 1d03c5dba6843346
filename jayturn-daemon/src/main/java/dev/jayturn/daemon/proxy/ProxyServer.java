package dev.jayturn.daemon.proxy;

import dev.jayturn.daemon.link.ServerSockets;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Listens for callers. */
public final class ProxyServer {
    private static final int MAX_INITIAL_LINE_BYTES = 16_384;
    private static final int MAX_CHUNK_BYTES = 16_384;

    /** Bytes held for a caller that does not read, before its upstream is not read either. */
    private static final int WRITE_HIGH_WATER_MARK_BYTES = 128 * 1_024;

    private static final int WRITE_LOW_WATER_MARK_BYTES = 32 * 1_024;
    private static final long TIMEOUT_CHECK_INTERVAL_MILLIS = 500;

    private final EventLoop loop;
    private final Forwarder forwarder;
    private final Set<CallerConnection> connections = new LinkedHashSet<>();
    private @Nullable Channel serverChannel;

    public ProxyServer(EventLoop loop, Forwarder forwarder) {
        this.loop = loop;
        this.forwarder = forwarder;
        forwarder.timers().every(TIMEOUT_CHECK_INTERVAL_MILLIS, this::closeTimedOutConnections);
    }

    /** Starts to listen. */
    public void listen(InetSocketAddress address) {
        serverChannel = ServerSockets.listen(loop, address, this::initChannel);
    }

    private void initChannel(Channel channel) {
        int maxHeaderBytes = forwarder.limits().maxHeaderBytes();
        channel.config()
                .setWriteBufferWaterMark(
                        new WriteBufferWaterMark(
                                WRITE_LOW_WATER_MARK_BYTES, WRITE_HIGH_WATER_MARK_BYTES));
        channel.pipeline()
                .addLast(forwarder.linkMeter())
                .addLast(
                        new HttpServerCodec(
                                MAX_INITIAL_LINE_BYTES, maxHeaderBytes, MAX_CHUNK_BYTES))
                .addLast(new CallerConnection(forwarder, this));
    }

    void addConnection(CallerConnection connection) {
        connections.add(connection);
    }

    void removeConnection(CallerConnection connection) {
        connections.remove(connection);
    }

    private void closeTimedOutConnections() {
        long now = forwarder.timers().nowMillis();
        for (CallerConnection connection : new ArrayList<>(connections)) {
            connection.closeIfTimedOut(now);
        }
    }

    /** Closes connections as they fall idle; new ones are still taken. */
    public void closeConnectionsWhenIdle() {
        for (CallerConnection connection : new ArrayList<>(connections)) {
            connection.closeWhenIdle();
        }
    }

    /** Takes no new connections. */
    public void stopListening() {
        Channel open = serverChannel;
        if (open != null) {
            open.close();
        }
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return connections.size();
    }
}
