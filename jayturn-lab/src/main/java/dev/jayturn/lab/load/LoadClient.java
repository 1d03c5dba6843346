package dev.jayturn.lab.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** The connections of one event loop; a connection carries one call at a time. */
final class LoadClient {
    private final EventLoop eventLoop;
    private final Map<String, Deque<Channel>> idleChannels = new HashMap<>();

    /** Told of a call's answer, on the event loop. */
    interface Listener {
        void onContent(boolean first);

        void onResponse(int status, String code, String body);

        void onConnectionFailure();
    }

    LoadClient(EventLoop loop) {
        this.eventLoop = loop;
    }

    EventLoop eventLoop() {
        return eventLoop;
    }

    void send(String target, LoadCall call, Listener listener) {
        Deque<Channel> channels = idleChannels.computeIfAbsent(target, t -> new ArrayDeque<>());
        Channel channel = channels.pollLast();
        while (channel != null && !channel.isActive()) {
            channel = channels.pollLast();
        }
        if (channel != null) {
            write(channel, target, call, listener);
            return;
        }
        ChannelFuture connecting = connect(target);
        connecting.addListener(
                future -> {
                    if (future.isSuccess()) {
                        write(connecting.channel(), target, call, listener);
                    } else {
                        listener.onConnectionFailure();
                    }
                });
    }

    private ChannelFuture connect(String target) {
        int colon = target.lastIndexOf(':');
        return new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel ch) {
                                ch.pipeline().addLast(new HttpClientCodec());
                            }
                        })
                .connect(
                        new InetSocketAddress(
                                target.substring(0, colon),
                                Integer.parseInt(target.substring(colon + 1))));
    }

    private void write(Channel channel, String target, LoadCall call, Listener listener) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.POST,
                        call.uri,
                        Unpooled.wrappedBuffer(call.body));
        request.headers().set(HttpHeaderNames.HOST, target);
        request.headers().set(HttpHeaderNames.AUTHORIZATION, "Bearer " + call.bearerKey);
        request.headers()
                .set(
                        "x-request-id",
                        call.direct ? "d-" + call.idempotencyKey : call.idempotencyKey);
        request.headers().set("idempotency-key", call.idempotencyKey);
        request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, call.body.length);
        channel.pipeline().addLast(new ResponseHandler(target, listener));
        channel.writeAndFlush(request);
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
        private final String target;
        private final Listener listener;
        private final StringBuilder body = new StringBuilder();
        private @Nullable HttpResponse responseHeader;
        private boolean completed;

        ResponseHandler(String target, Listener listener) {
            this.target = target;
            this.listener = listener;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message instanceof HttpResponse response) {
                responseHeader = response;
            }
            if (message instanceof HttpContent content) {
                if (content.content().isReadable()) {
                    listener.onContent(body.length() == 0);
                    body.append(content.content().toString(StandardCharsets.UTF_8));
                }
                if (message instanceof LastHttpContent) {
                    complete(ctx);
                }
            }
        }

        private void complete(ChannelHandlerContext ctx) {
            completed = true;
            HttpResponse response = responseHeader;
            if (response == null) {
                listener.onConnectionFailure();
                return;
            }
            if (HttpUtil.isKeepAlive(response)) {
                ctx.pipeline().remove(this);
                idleChannels
                        .computeIfAbsent(target, t -> new ArrayDeque<>())
                        .addLast(ctx.channel());
            } else {
                ctx.close();
            }
            String code = response.headers().get("x-jayturn-code", "");
            listener.onResponse(response.status().code(), code, body.toString());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (!completed) {
                completed = true;
                listener.onConnectionFailure();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
