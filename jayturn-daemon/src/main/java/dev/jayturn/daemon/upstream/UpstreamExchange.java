package dev.jayturn.daemon.upstream;

import dev.jayturn.daemon.loop.LoopTask;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** One request to an upstream and its response. Used on one event loop only. */
public final class UpstreamExchange {
    /** Header with the request id, which the upstream must repeat in its response. */
    public static final String REQUEST_ID_HEADER = "x-request-id";

    private final UpstreamPool pool;
    private final EventLoop eventLoop;
    private final String address;
    private final String requestId;
    private final ExchangeListener listener;
    private @Nullable Channel channel;
    private @Nullable Future<?> timeout;
    private boolean requestWritten;
    private boolean finished;

    private UpstreamExchange(
            UpstreamPool pool,
            EventLoop eventLoop,
            String address,
            String requestId,
            ExchangeListener listener) {
        this.pool = pool;
        this.eventLoop = eventLoop;
        this.address = address;
        this.requestId = requestId;
        this.listener = listener;
    }

    /** Sends a request. Must be called on the event loop. */
    public static UpstreamExchange start(
            UpstreamPools pools,
            EventLoop eventLoop,
            String address,
            FullHttpRequest request,
            long timeoutMillis,
            ExchangeListener listener) {
        String requestId = request.headers().get(REQUEST_ID_HEADER, "");
        UpstreamExchange exchange =
                new UpstreamExchange(
                        pools.poolOf(eventLoop), eventLoop, address, requestId, listener);
        exchange.start(request, timeoutMillis);
        return exchange;
    }

    private void start(FullHttpRequest request, long timeoutMillis) {
        // HttpCall.onFailed recognises a timeout by this text, so the two must match.
        timeout = eventLoop.schedule(() -> fail("timed out"), timeoutMillis, TimeUnit.MILLISECONDS);
        pool.acquire(
                address,
                new UpstreamPool.ConnectionCallback() {
                    @Override
                    public void onConnected(Channel connection) {
                        send(connection, request);
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

    private void send(Channel connection, FullHttpRequest request) {
        if (finished) {
            request.release();
            pool.release(address, connection);
            return;
        }
        channel = connection;
        connection.config().setAutoRead(true);
        UpstreamResponseDecoder decoder = connection.pipeline().get(UpstreamResponseDecoder.class);
        decoder.onRequest(request.method());
        connection.pipeline().addLast(new ResponseHandler(decoder));
        connection
                .writeAndFlush(request)
                .addListener(
                        done -> {
                            requestWritten = done.isSuccess();
                            if (!done.isSuccess()) {
                                fail("the request could not be written");
                            }
                        });
    }

    /** Pauses or resumes reading of the response, for a caller that is slower than the upstream. */
    public void setReading(boolean reading) {
        if (channel != null && !finished) {
            channel.config().setAutoRead(reading);
        }
    }

    /** Ends the exchange without notifying the listener. */
    public void abort() {
        if (finish() && channel != null) {
            channel.close();
        }
    }

    /** Marks the exchange as finished; returns false if it was finished before. */
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

    private void complete(Channel connection, boolean keepAlive, ResponseHandler handler) {
        if (!finish()) {
            return;
        }
        if (keepAlive && !handler.decoder.hasMoreBytes()) {
            handler.decoder.onResponseEnd();
            connection.pipeline().remove(handler);
            pool.release(address, connection);
        } else {
            connection.close();
        }
        listener.onCompleted();
    }

    private final class ResponseHandler extends ChannelInboundHandlerAdapter {
        private final UpstreamResponseDecoder decoder;
        private final EmbeddedHeadScanner bodyScanner =
                new EmbeddedHeadScanner(REQUEST_ID_HEADER, requestId::equals);
        private boolean keepAlive = true;
        private boolean closeDelimited;
        private boolean awaitingReset;
        private boolean skippingInformational;

        ResponseHandler(UpstreamResponseDecoder decoder) {
            this.decoder = decoder;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (finished) {
                ReferenceCountUtil.release(message);
                return;
            }
            if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
                // The decoder marks the end of a body that it cannot parse like a complete one.
                ReferenceCountUtil.release(message);
                fail("the response is malformed");
                return;
            }
            if (message instanceof HttpResponse head && !readHead(head)) {
                ReferenceCountUtil.release(message);
                return;
            }
            if (message instanceof HttpContent content) {
                readBody(ctx, content);
            }
        }

        private void readBody(ChannelHandlerContext ctx, HttpContent content) {
            boolean last = content instanceof LastHttpContent;
            if (skippingInformational) {
                skippingInformational = !last;
                content.release();
                return;
            }
            boolean embedded =
                    bodyScanner.scan(content.content())
                            || (last
                                    && decoder.hasMoreBytes()
                                    && bodyScanner.scanBehindBody(decoder.moreBytes()));
            if (embedded || (last && isMergedTrailer(content))) {
                content.release();
                fail("the response holds the head of another one");
                return;
            }
            listener.onBody(content.content());
            if (!last) {
                return;
            }
            if (closeDelimited && !requestWritten) {
                fail("the response ended before the request was written");
            } else if (closeDelimited && isEndOfInput(ctx.channel())) {
                awaitingReset = true;
                eventLoop.schedule(
                        () -> LoopTask.run(() -> completeUnlessReset(ctx.channel())),
                        UpstreamSocket.RESET_WAIT_MILLIS,
                        TimeUnit.MILLISECONDS);
            } else {
                complete(ctx.channel(), keepAlive && requestWritten, this);
            }
        }

        private static boolean isMergedTrailer(HttpContent content) {
            return content instanceof LastHttpContent end
                    && ResponseHeadCheck.isMerged(end.trailingHeaders());
        }

        private static boolean isEndOfInput(Channel connection) {
            return connection instanceof SocketChannel socket && socket.isInputShutdown();
        }

        private void completeUnlessReset(Channel connection) {
            if (connection instanceof UpstreamSocket socket && socket.isReset()) {
                fail("the upstream reset the connection after it had closed it");
            } else {
                complete(connection, false, this);
            }
        }

        /** Closes this side too when the upstream has closed its side. */
        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof ChannelInputShutdownEvent && !awaitingReset) {
                ctx.close();
            }
        }

        /** Passes on a head; ends the exchange and returns false if its request id differs. */
        private boolean readHead(HttpResponse head) {
            ResponseFault fault = ResponseHeadCheck.check(head);
            if (fault != ResponseFault.NONE) {
                fail("the response head is malformed: " + fault);
                return false;
            }
            if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                skippingInformational = true;
                return true;
            }
            closeDelimited =
                    !HttpUtil.isTransferEncodingChunked(head)
                            && !head.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
            keepAlive = HttpUtil.isKeepAlive(head);
            String responseId = head.headers().get(REQUEST_ID_HEADER, "");
            if (!responseId.equals(requestId)) {
                if (finish() && channel != null) {
                    channel.close();
                    listener.onMisdirected(responseId);
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
