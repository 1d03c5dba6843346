package dev.jayturn.daemon.proxy;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** The socket of a connection to an upstream. */
final class UpstreamSocket extends NioSocketChannel {
    /**
     * Returns whether the upstream has neither sent bytes that were not read yet nor closed the
     * connection. If not, the connection cannot be used any more, because a byte may be lost.
     */
    boolean isQuiet() {
        try {
            return javaChannel().read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            return false;
        }
    }
}
