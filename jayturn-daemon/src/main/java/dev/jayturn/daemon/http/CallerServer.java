package dev.jayturn.daemon.http;

import dev.jayturn.core.result.Refusal;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.daemon.api.BodyLimiter;
import dev.jayturn.daemon.head.RequestCodec;
import dev.jayturn.daemon.head.RequestMemory;
import dev.jayturn.daemon.settings.SettingKey;
import dev.jayturn.daemon.settings.Settings;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.concurrent.EventExecutor;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/** Accepts connections from callers and serves their HTTP requests. */
public final class CallerServer implements AutoCloseable {
    private static final int MAX_REQUEST_LINE_BYTES = 8 << 10;
    private static final int MAX_HEADER_BYTES = 16 << 10;
    private static final int MAX_CHUNK_BYTES = 16 << 10;
    private static final int MAX_PENDING_CONNECTIONS = 4_096;

    private final Settings settings;
    private final EntryServices services;
    private final Channel serverChannel;
    private final Map<EventExecutor, ConnectionLimit> limits = new HashMap<>();

    /** Starts listening on the configured address. */
    public CallerServer(Settings settings, EventLoopGroup group, EntryServices services) {
        this.settings = settings;
        this.services = services;
        long maxOfLoop =
                Math.max(
                        1,
                        settings.number(SettingKey.MAX_CONNECTIONS)
                                / settings.number(SettingKey.ENTRY_THREADS));
        group.forEach(loop -> limits.put(loop, new ConnectionLimit(maxOfLoop)));
        int highWaterBytes = services.bufferBytes();
        serverChannel =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, MAX_PENDING_CONNECTIONS)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                new WriteBufferWaterMark(highWaterBytes / 2, highWaterBytes))
                        .childHandler(new ConnectionInitializer())
                        .bind(settings.address(SettingKey.ENTRY_LISTEN))
                        .syncUninterruptibly()
                        .channel();
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) serverChannel.localAddress();
    }

    /** Stops accepting connections; open connections are not closed. */
    @Override
    public void close() {
        serverChannel.close().syncUninterruptibly();
    }

    private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel ch) {
            ConnectionLimit limit = Objects.requireNonNull(limits.get(ch.eventLoop()));
            if (!limit.admit(ch)) {
                ch.close();
                return;
            }
            RequestMemory.Part memory = services.requestMemory().of(ch.eventLoop());
            RequestTimeoutHandler timeouts =
                    new RequestTimeoutHandler(
                            settings.number(SettingKey.HEADER_TIMEOUT),
                            settings.number(SettingKey.IDLE_TIMEOUT),
                            limit);
            int maxBodyBytes = (int) settings.number(SettingKey.MAX_BODY);
            BodyLimiter limiter =
                    new BodyLimiter(memory.bodies(), maxBodyBytes, CallerServer::createRefusal);
            CallerHandler handler = new CallerHandler(services, ch, timeouts, limiter);
            RequestCodec codec =
                    new RequestCodec(decoderConfig(), memory.heads(), "callers", handler);
            handler.setCodec(codec);
            ch.pipeline()
                    .addLast(timeouts)
                    .addLast(codec)
                    .addLast(limiter)
                    .addLast(new BodyAggregator(maxBodyBytes))
                    .addLast(handler);
        }
    }

    private static HttpDecoderConfig decoderConfig() {
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES);
    }

    private static FullHttpResponse createRefusal(
            @Nullable HttpRequest head, ResultCode code, long retryAfterMillis) {
        String requestId = head == null ? "" : head.headers().get(Responses.REQUEST_ID_HEADER, "");
        return Responses.problem(requestId, Refusal.notRun(code, "", retryAfterMillis));
    }

    /** Collects a request body and refuses requests whose body exceeds the limit. */
    private static final class BodyAggregator extends HttpObjectAggregator {
        BodyAggregator(int maxBytes) {
            super(maxBytes);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            String requestId = oversized.headers().get(Responses.REQUEST_ID_HEADER, "");
            Refusal refusal = Refusal.notRun(ResultCode.BODY_TOO_LARGE, "");
            ctx.writeAndFlush(Responses.problem(requestId, refusal))
                    .addListener(future -> ctx.close());
        }
    }
}
