package dev.jayturn.daemon.fleet;

import com.google.common.flogger.FluentLogger;
import dev.jayturn.daemon.link.ServerSockets;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;

/** A small HTTP server for calls whose bodies are taken whole. */
final class HttpApiServer {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MAX_BODY_BYTES = 8 << 20;
    private static final int IDLE_TIMEOUT_SECONDS = 30;

    private final EventLoop loop;
    private final CharSequence contentType;
    private final HttpHandler handler;

    HttpApiServer(EventLoop loop, CharSequence contentType, HttpHandler calls) {
        this.loop = loop;
        this.contentType = contentType;
        this.handler = calls;
    }

    void listen(InetSocketAddress address) {
        ServerSockets.listen(loop, address, this::initPipeline);
    }

    /** Listens if the address is free; the process does not depend on it. */
    void listenOptionally(InetSocketAddress address) {
        ServerSockets.listenOptionally(loop, address, this::initPipeline);
    }

    private void initPipeline(Channel channel) {
        channel.pipeline()
                .addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT_SECONDS))
                .addLast(new HttpServerCodec())
                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                .addLast(new RequestHandler());
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (request.decoderResult().isFailure()) {
                ctx.close();
                return;
            }
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            handler.handle(request, (status, body) -> respond(ctx, keepAlive, status, body));
        }

        private void respond(
                ChannelHandlerContext ctx, boolean keepAlive, int status, byte[] body) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(status),
                            Unpooled.wrappedBuffer(body));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, contentType)
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            if (keepAlive) {
                ctx.writeAndFlush(response);
            } else {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            ctx.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOGGER.atFine().withCause(cause).log("control: A connection failed.");
            ctx.close();
        }
    }
}
