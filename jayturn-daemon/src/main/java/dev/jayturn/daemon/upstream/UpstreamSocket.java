package dev.jayturn.daemon.upstream;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;

/**
 * The socket of a connection to an upstream. It stays open when the upstream closes its side, so
 * that a reset which follows can be seen; whoever handles the end of the input closes it.
 */
public final class UpstreamSocket extends NioSocketChannel {
    /**
     * Time in which a reset arrives that follows the end of a connection: an upstream that closes
     * its socket while a part of the request is unread sends both at once.
     */
    public static final long RESET_WAIT_MILLIS = 20;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Creates a socket that is not connected. */
    public UpstreamSocket() {
        config().setAllowHalfClosure(true);
    }

    /**
     * Returns whether the upstream has neither sent bytes that were not read yet nor closed the
     * connection. If not, the connection cannot be used any more, because a byte may be lost.
     */
    public boolean isQuiet() {
        try {
            return javaChannel().read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Returns whether the upstream has reset the connection, also if it had closed its side in
     * order before: reads show only what came first.
     */
    public boolean isReset() {
        try (Selector selector = Selector.open()) {
            // A connected channel is selected for this operation only because of an error.
            javaChannel().register(selector, SelectionKey.OP_CONNECT);
            return selector.selectNow() > 0;
        } catch (IOException e) {
            LOGGER.atWarning().withCause(e).log("proxy: The state of a connection is unknown.");
            return true;
        }
    }
}
