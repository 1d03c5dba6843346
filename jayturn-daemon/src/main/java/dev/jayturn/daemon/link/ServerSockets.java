package dev.jayturn.daemon.link;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.function.Consumer;

/** Opens listening sockets without blocking the event loop. */
public final class ServerSockets {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int ACCEPT_BACKLOG = 1_024;
    private static final int EXIT_LISTEN_FAILED = 1;

    private ServerSockets() {}

    /**
     * Listens at an address, and terminates the process if that fails, since it cannot do its work
     * then.
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

    /**
     * Opens a listening socket. The operating system queues callers that connect until {@link
     * #accept} is called.
     *
     * @throws IOException if the address cannot be used
     */
    public static ServerSocketChannel open(InetSocketAddress address) throws IOException {
        ServerSocketChannel socket = ServerSocketChannel.open();
        socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        return socket.bind(address, ACCEPT_BACKLOG);
    }

    /**
     * Accepts the connections of a socket that listens already.
     *
     * @param initializer adds the handlers of each accepted connection
     */
    public static Channel accept(
            EventLoop loop, ServerSocketChannel socket, Consumer<Channel> initializer) {
        Channel channel =
                bootstrap(loop, initializer)
                        .channelFactory(() -> new NioServerSocketChannel(socket))
                        .option(ChannelOption.AUTO_READ, false)
                        .register()
                        .channel();
        // The handler that accepts is added by a task of the loop; connections must not come first.
        loop.execute(() -> channel.config().setAutoRead(true));
        return channel;
    }

    /**
     * Stops listening, after accepting the connections that the operating system has queued; it
     * would reset them. Call it on the event loop of the channel.
     *
     * @param socket the socket that the channel accepts from
     */
    public static void close(Channel channel, ServerSocketChannel socket) {
        try {
            SocketChannel pending = socket.accept();
            while (pending != null) {
                channel.pipeline().fireChannelRead(new NioSocketChannel(channel, pending));
                pending = socket.accept();
            }
        } catch (IOException e) {
            LOGGER.atWarning().withCause(e).log("link: Cannot accept the last connections.");
        }
        channel.close();
    }

    /**
     * Listens at an address, and only logs an error if that fails.
     *
     * @param initializer adds the handlers of each accepted connection
     */
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
        return bootstrap(loop, initializer)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .bind(address);
    }

    private static ServerBootstrap bootstrap(EventLoop loop, Consumer<Channel> initializer) {
        return new ServerBootstrap()
                .group(loop)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                initializer.accept(channel);
                            }
                        });
    }
}
