package dev.jayturn.daemon.proxy;

import dev.jayturn.core.dispatch.UpstreamLoad;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.daemon.link.LinkMeter;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/** The connections to all upstreams, by their address. */
final class UpstreamConnectionPools {
    private static final long SWEEP_INTERVAL_MILLIS = 1_000;

    private final EventLoop loop;
    private final TimerService timers;
    private final HeaderCodec codec;
    private final LinkMeter meter;
    private final Map<String, UpstreamConnectionPool> poolsByAddress = new HashMap<>();

    UpstreamConnectionPools(
            EventLoop loop, TimerService timers, HeaderCodec codec, LinkMeter meter) {
        this.loop = loop;
        this.timers = timers;
        this.codec = codec;
        this.meter = meter;
        timers.every(SWEEP_INTERVAL_MILLIS, this::closeExpiredConnections);
    }

    UpstreamConnectionPool poolOf(UpstreamLoad upstream) {
        return poolsByAddress.computeIfAbsent(upstream.heartbeat().address(), this::createPool);
    }

    private UpstreamConnectionPool createPool(String address) {
        int colon = address.lastIndexOf(':');
        InetSocketAddress socket =
                new InetSocketAddress(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1)));
        return new UpstreamConnectionPool(loop, timers, codec, meter, socket);
    }

    /** Closes the idle connections to an upstream that takes no new work. */
    void closeIdleConnections(UpstreamLoad upstream) {
        UpstreamConnectionPool pool = poolsByAddress.get(upstream.heartbeat().address());
        if (pool != null) {
            pool.closeIdleConnections(true);
        }
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
