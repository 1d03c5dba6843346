package dev.jayturn.daemon.http;

import io.netty.channel.Channel;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the connections of one event loop.
 *
 * <p>The load that this answers: callers that open all connections there may be, and send nothing
 * or only the begin of a request. A connection without a complete request gives way to a new one,
 * the one that has waited for the longest time first. An ordinary caller sends its request at once
 * and is not among them for long. Connections whose request is running are never closed.
 */
final class ConnectionLimit {
    private final long max;
    private final Set<Channel> waiting = new LinkedHashSet<>();
    private long open;

    /**
     * Creates a limit.
     *
     * @param max number of connections that may be open
     */
    ConnectionLimit(long max) {
        this.max = max;
    }

    /**
     * Admits a new connection, which may close another one.
     *
     * @return false if all others have a request that is running or a response to be sent
     */
    boolean admit(Channel channel) {
        if (open >= max && !closeLongestWaiting()) {
            return false;
        }
        open++;
        waiting.add(channel);
        channel.closeFuture().addListener(done -> onClosed(channel));
        return true;
    }

    private boolean closeLongestWaiting() {
        for (Channel channel : waiting) {
            // Others are still sending the last response.
            if (RequestTimeoutHandler.unsentBytes(channel) == 0) {
                channel.close();
                return true;
            }
        }
        return false;
    }

    private void onClosed(Channel channel) {
        open--;
        waiting.remove(channel);
    }

    /** Called when a connection begins to wait for a request, or for the rest of one. */
    void onWaiting(Channel channel) {
        waiting.remove(channel);
        if (channel.isOpen()) {
            waiting.add(channel);
        }
    }

    /** Called when a connection has received a complete request. */
    void onRunning(Channel channel) {
        waiting.remove(channel);
    }
}
