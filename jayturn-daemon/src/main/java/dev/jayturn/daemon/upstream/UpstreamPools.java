package dev.jayturn.daemon.upstream;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Holds one connection pool per event loop. */
public final class UpstreamPools {
    private final Map<EventLoop, UpstreamPool> pools = new ConcurrentHashMap<>();

    UpstreamPool poolOf(EventLoop eventLoop) {
        return pools.computeIfAbsent(eventLoop, UpstreamPool::new);
    }
}
