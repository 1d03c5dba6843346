package dev.jayturn.daemon.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** One request to an upstream and its answer; all on one event loop. */
public final class UpstreamExchange {
    /** Header that binds an answer to its request. */
    public static final String REQUEST_ID_HEADER = "x-request-id";

    private final UpstreamPool pool;
    private final EventLoop eventLoop;
    private final String address;
    private final String requestId;
    private final ExchangeListener listener;
    private @Nullable Channel channel;
    private @Nullable Future<?> timeout;
    private boolean finished;

    private UpstreamExchange(
            UpstreamPool pool,
            EventLoop loop,
            String address,
            String id,
            ExchangeListener listener) {
        this.pool = pool;
        this.eventLoop = loop;
        this.address = address;
        this.requestId = id;
        this.listener = listener;
    }

    /** Sends a request; called on the event loop. */
    public static UpstreamExchange start(
            UpstreamPools pools,
            EventLoop loop,
            String address,
            FullHttpRequest request,
            long timeoutMillis,
            ExchangeListener listener) {
        String id = request.headers().get(REQUEST_ID_HEADER, "");
        UpstreamExchange exchange =
                new UpstreamExchange(pools.poolOf(loop), loop, address, id, listener);
        exchange.start(request, timeoutMillis);
        return exchange;
    }

    private void start(FullHttpRequest request, long timeoutMillis) {
        timeout = eventLoop.schedule(() -> fail("timed out"), timeoutMillis, TimeUnit.MILLISECONDS);
        pool.acquire(
                address,
                new UpstreamPool.ConnectionCallback() {
                    @Override
                    public void onConnected(Channel connected) {
                        send(connected, request);
                    }

                    @Override
                    public void onFailed(Throwable cause) {
                        request.release();
                        if (finish()) {
                            listener.onNotSent(String.valueOf(cause.getMessage()));
                        }
                    }
                });
    }

    private void send(Channel connected, FullHttpRequest request) {
        if (finished) {
            request.release();
            pool.release(address, connected);
            return;
        }
        channel = connected;
        connected.config().setAutoRead(true);
        connected.pipeline().addLast(new ResponseHandler());
        connected.writeAndFlush(request);
    }

    /** Stops or starts reading, for a caller that is slower than the upstream. */
    public void setReading(boolean reading) {
        if (channel != null && !finished) {
            channel.config().setAutoRead(reading);
        }
    }

    /** Ends the exchange without telling the listener. */
    public void abort() {
        if (finish() && channel != null) {
            channel.close();
        }
    }

    private boolean finish() {
        if (finished) {
            return false;
        }
        finished = true;
        if (timeout != null) {
            timeout.cancel(false);
        }
        return true;
    }

    private void fail(String detail) {
        if (!finish()) {
            return;
        }
        if (channel == null) {
            listener.onNotSent(detail);
            return;
        }
        channel.close();
        listener.onFailed(detail);
    }

    private void complete(Channel from, boolean keepAlive, ResponseHandler answers) {
        if (!finish()) {
            return;
        }
        if (keepAlive) {
            from.pipeline().remove(answers);
            pool.release(address, from);
        } else {
            from.close();
        }
        listener.onCompleted();
    }

    private final class ResponseHandler extends ChannelInboundHandlerAdapter {
        private boolean keepAlive = true;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (finished) {
                ReferenceCountUtil.release(message);
                return;
            }
            if (message instanceof HttpResponse head && !readHead(head)) {
                ReferenceCountUtil.release(message);
                return;
            }
            if (message instanceof HttpContent content) {
                listener.onBody(content.content());
                if (message instanceof LastHttpContent) {
                    complete(ctx.channel(), keepAlive, this);
                }
            }
        }

        private boolean readHead(HttpResponse head) {
            keepAlive = HttpUtil.isKeepAlive(head);
            String answered = head.headers().get(REQUEST_ID_HEADER, "");
            if (!answered.equals(requestId)) {
                if (finish() && channel != null) {
                    channel.close();
                    listener.onMisdirected(answered);
                }
                return false;
            }
            listener.onHead(head);
            return true;
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            fail("the upstream closed the connection");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            fail(String.valueOf(cause.getMessage()));
        }
    }
}
