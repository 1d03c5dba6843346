package dev.jayturn.daemon.upstream;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The connection pool of each event loop. */
public final class UpstreamPools {
    private final Map<EventLoop, UpstreamPool> pools = new ConcurrentHashMap<>();

    UpstreamPool poolOf(EventLoop loop) {
        return pools.computeIfAbsent(loop, UpstreamPool::new);
    }
}
