package dev.jayturn.daemon.link;

import com.google.common.flogger.FluentLogger;
import dev.jayturn.core.limits.FrameBudget;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Addresses;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import dev.jayturn.daemon.eventlog.EventLog;
import dev.jayturn.daemon.metrics.FleetMetrics;
import dev.jayturn.wire.MessageCodec;
import dev.jayturn.wire.UnknownTypeException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Sends messages to instances, which are named by their link addresses, over TCP. Each instance
 * opens a connection to every instance that it sends to, and receives answers on the connection
 * that the other instance opens. A ping without a timely pong closes the connection, because a
 * broken connection otherwise cannot be distinguished from an idle one.
 */
public final class LinkTransport implements Transport {
    // Types of frames; the first byte of each frame.
    static final byte MESSAGE = 0;
    static final byte PING = 1;
    static final byte PONG = 2;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MAX_FRAME_BYTES = 32 << 20;
    private static final int LENGTH_BYTES = 4;
    private static final int CONNECT_TIMEOUT_MILLIS = 700;

    /** Time after the last message sent at which a connection is closed. */
    private static final long IDLE_TIMEOUT_MILLIS = 15_000;

    private static final long SWEEP_INTERVAL_MILLIS = 500;

    /** Interval between lines on messages that were not handled; all of them are counted. */
    private static final long FAILURE_LOG_INTERVAL_MILLIS = 1_000;

    private final String ownAddress;
    private final EventLoop loop;
    private final TimerService timers;
    private final FleetMetrics metrics;
    private final LinkMeter meter;
    private final EventLog log;
    private final Consumer<Message> receiver;
    private final Map<String, OutboundConnection> connectionsByAddress = new HashMap<>();
    private long lastFailureLoggedMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a transport.
     *
     * @param ownAddress link address of this instance; messages to it go directly to the receiver
     * @param receiver called with each message received
     */
    public LinkTransport(
            String ownAddress,
            EventLoop loop,
            TimerService timers,
            FleetMetrics metrics,
            LinkMeter meter,
            EventLog log,
            Consumer<Message> receiver) {
        this.ownAddress = ownAddress;
        this.loop = loop;
        this.timers = timers;
        this.metrics = metrics;
        this.meter = meter;
        this.log = log;
        this.receiver = receiver;
        timers.every(SWEEP_INTERVAL_MILLIS, this::closeStaleConnections);
    }

    /**
     * Listens for connections of other instances.
     *
     * @param frameMemoryBytes bound on what the unfinished messages of all of them hold
     */
    public void listen(InetSocketAddress address, long frameMemoryBytes) {
        FrameBudget budget = new FrameBudget(frameMemoryBytes);
        ServerSockets.listen(
                loop,
                address,
                channel -> {
                    addFrameHandlers(
                            channel,
                            new BudgetedFrameDecoder(
                                    MAX_FRAME_BYTES,
                                    LENGTH_BYTES,
                                    budget,
                                    channel,
                                    this::recordClosed));
                    channel.pipeline().addLast(new InboundHandler());
                });
    }

    private void recordClosed(Channel channel) {
        recordFailure(
                String.valueOf(channel.remoteAddress()),
                "memory",
                "",
                new IOException("unfinished messages hold too much memory"));
    }

    @Override
    public void send(String to, Message message) {
        String instance = Addresses.instanceOf(to);
        if (instance.equals(ownAddress)) {
            loop.execute(() -> deliver(ownAddress, message));
            return;
        }
        byte[] body = MessageCodec.encode(message);
        metrics.recordSentMessage(message.getClass().getSimpleName(), body.length);
        OutboundConnection connection = connectionsByAddress.get(instance);
        if (connection == null || connection.isClosed()) {
            if (connection != null && !connection.canReconnect(timers.nowMillis())) {
                return;
            }
            connection = new OutboundConnection(timers);
            connectionsByAddress.put(instance, connection);
            connect(instance, connection);
        }
        connection.send(body);
    }

    private void connect(String instance, OutboundConnection connection) {
        int colon = instance.lastIndexOf(':');
        InetSocketAddress address =
                new InetSocketAddress(
                        instance.substring(0, colon),
                        Integer.parseInt(instance.substring(colon + 1)));
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                addFrameHandlers(
                                        channel,
                                        new LengthFieldBasedFrameDecoder(
                                                MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
                                channel.pipeline().addLast(connection);
                            }
                        })
                .connect(address)
                .addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                connection.markClosed();
                            }
                        });
    }

    private void addFrameHandlers(Channel channel, LengthFieldBasedFrameDecoder decoder) {
        channel.pipeline()
                .addLast(meter)
                .addLast(decoder)
                .addLast(new LengthFieldPrepender(LENGTH_BYTES));
    }

    private void closeStaleConnections() {
        long nowMillis = timers.nowMillis();
        connectionsByAddress.values().removeIf(c -> c.isClosed() && c.canReconnect(nowMillis));
        for (OutboundConnection connection : connectionsByAddress.values()) {
            connection.closeIfStale(nowMillis, IDLE_TIMEOUT_MILLIS);
        }
    }

    /** Passes on a message; an exception costs this message only. */
    private void deliver(String peer, Message message) {
        try {
            receiver.accept(message);
        } catch (RuntimeException | StackOverflowError e) {
            recordFailure(peer, "handler", message.getClass().getSimpleName(), e);
        }
    }

    /**
     * Counts and logs a message that was received and not handled.
     *
     * @param peer address of the sender's connection
     * @param failure label of the metric
     * @param message kind of the message; empty if it could not be told
     */
    private void recordFailure(String peer, String failure, String message, Throwable cause) {
        metrics.recordFailedMessage(failure);
        long nowMillis = timers.nowMillis();
        if (nowMillis - lastFailureLoggedMillis < FAILURE_LOG_INTERVAL_MILLIS) {
            return;
        }
        lastFailureLoggedMillis = nowMillis;
        LOGGER.atWarning().withCause(cause).log("link: A message was not handled.");
        log.event(
                "link.message.failed",
                json -> {
                    json.writeStringField("peer", peer);
                    json.writeStringField("failure", failure);
                    json.writeStringField("message", message);
                    json.writeStringField("reason", String.valueOf(cause));
                });
    }

    private final class InboundHandler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            byte type = frame.readByte();
            if (type == PING) {
                ctx.writeAndFlush(ctx.alloc().buffer(1).writeByte(PONG));
                return;
            }
            byte[] body = new byte[frame.readableBytes()];
            frame.readBytes(body);
            String peer = String.valueOf(ctx.channel().remoteAddress());
            Message message;
            try {
                message = MessageCodec.decodeMessage(body);
            } catch (UnknownTypeException e) {
                // An instance of a newer build may send it; the other messages still count.
                recordFailure(peer, "unknown", e.typeName(), e);
                return;
            } catch (IOException e) {
                recordFailure(peer, "unreadable", "", e);
                return;
            }
            metrics.recordReceivedMessage(message.getClass().getSimpleName(), body.length);
            deliver(peer, message);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOGGER.atFine().withCause(cause).log("link: Inbound connection failed.");
            ctx.close();
        }
    }
}
