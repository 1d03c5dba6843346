package dev.jayturn.daemon.link;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import java.net.InetSocketAddress;

/** Opens listening sockets from an event loop, which must not wait for them. */
public final class Listeners {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int EXIT_FAILED = 1;

    private Listeners() {}

    /** Starts to listen; a process that cannot is of no use and ends. */
    public static Channel bind(ServerBootstrap bootstrap, InetSocketAddress address) {
        return bootstrap
                .bind(address)
                .addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                LOGGER.atSevere().withCause(done.cause()).log(
                                        "link: Cannot listen at %s.", address);
                                Runtime.getRuntime().halt(EXIT_FAILED);
                            }
                        })
                .channel();
    }
}
