package dev.jayturn.daemon.link;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Opens listening sockets from an event loop, which must not wait for them. */
public final class ServerSockets {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int ACCEPT_BACKLOG = 1_024;
    private static final int EXIT_LISTEN_FAILED = 1;

    private ServerSockets() {}

    /**
     * Starts to listen; a process that cannot is of no use and ends.
     *
     * @param initializer adds the handlers of each accepted connection
     */
    public static Channel listen(
            EventLoop loop, InetSocketAddress address, Consumer<Channel> initializer) {
        return bind(loop, address, initializer)
                .addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                logFailure(address, done.cause());
                                Runtime.getRuntime().halt(EXIT_LISTEN_FAILED);
                            }
                        })
                .channel();
    }

    /** Starts to listen; a process that cannot goes on without, and logs why. */
    public static void listenOptionally(
            EventLoop loop, InetSocketAddress address, Consumer<Channel> initializer) {
        bind(loop, address, initializer)
                .addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                logFailure(address, done.cause());
                            }
                        });
    }

    private static void logFailure(InetSocketAddress address, Throwable cause) {
        LOGGER.atSevere().withCause(cause).log("link: Cannot listen at %s.", address);
    }

    private static ChannelFuture bind(
            EventLoop loop, InetSocketAddress address, Consumer<Channel> initializer) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                initializer.accept(channel);
                            }
                        })
                .bind(address);
    }
}
