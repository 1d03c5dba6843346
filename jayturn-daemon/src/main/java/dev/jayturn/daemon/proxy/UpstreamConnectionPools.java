package dev.jayturn.daemon.proxy;

import dev.jayturn.core.dispatch.UpstreamLoad;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.daemon.link.LinkMeter;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** The connection pools of all upstreams, by address. */
final class UpstreamConnectionPools {
    private static final long SWEEP_INTERVAL_MILLIS = 1_000;

    private final EventLoop loop;
    private final TimerService timers;
    private final HeaderCodec codec;
    private final LinkMeter meter;
    private final @Nullable InetSocketAddress source;
    private final Map<String, UpstreamConnectionPool> poolsByAddress = new HashMap<>();

    UpstreamConnectionPools(
            EventLoop loop,
            TimerService timers,
            HeaderCodec codec,
            LinkMeter meter,
            @Nullable InetSocketAddress source) {
        this.loop = loop;
        this.timers = timers;
        this.codec = codec;
        this.meter = meter;
        this.source = source;
        timers.every(SWEEP_INTERVAL_MILLIS, this::closeExpiredConnections);
    }

    UpstreamConnectionPool poolOf(UpstreamLoad upstream) {
        return poolsByAddress.computeIfAbsent(upstream.heartbeat().address(), this::createPool);
    }

    private UpstreamConnectionPool createPool(String address) {
        int colon = address.lastIndexOf(':');
        InetSocketAddress socketAddress =
                new InetSocketAddress(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1)));
        return new UpstreamConnectionPool(loop, timers, codec, meter, socketAddress, source);
    }

    /** Closes the idle connections to an upstream that accepts no new requests. */
    void closeIdleConnections(UpstreamLoad upstream) {
        UpstreamConnectionPool pool = poolsByAddress.get(upstream.heartbeat().address());
        if (pool != null) {
            pool.closeIdleConnections(true);
        }
    }

    /** Returns whether there is a connection to an address, or one is being opened. */
    boolean isConnected(String address) {
        UpstreamConnectionPool pool = poolsByAddress.get(address);
        return pool != null && pool.connectionCount() > 0;
    }

    private void closeExpiredConnections() {
        for (Iterator<UpstreamConnectionPool> it = poolsByAddress.values().iterator();
                it.hasNext(); ) {
            UpstreamConnectionPool pool = it.next();
            pool.closeIdleConnections(false);
            if (pool.connectionCount() == 0) {
                it.remove();
            }
        }
    }
}
