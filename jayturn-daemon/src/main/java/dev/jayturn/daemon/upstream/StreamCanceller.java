package dev.jayturn.daemon.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.jayturn.core.budget.StreamCancelled;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Requests that an upstream stop a stream and refuse its id from then on. */
public final class StreamCanceller {
    private static final long TIMEOUT_MILLIS = 2_000;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final UpstreamPools pools;

    public StreamCanceller(UpstreamPools pools) {
        this.pools = pools;
    }

    /**
     * Sends the cancel request. The callback runs on the event loop and receives null unless the
     * upstream responds with status 200 and a readable body.
     */
    public void cancel(
            EventLoop eventLoop,
            String address,
            String intentId,
            Consumer<@Nullable StreamCancelled> callback) {
        eventLoop.execute(() -> start(eventLoop, address, intentId, callback));
    }

    private void start(
            EventLoop eventLoop,
            String address,
            String intentId,
            Consumer<@Nullable StreamCancelled> callback) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.POST,
                        "/v1/streams/" + intentId + "/cancel");
        request.headers().set(UpstreamExchange.REQUEST_ID_HEADER, intentId);
        request.headers().set(HttpHeaderNames.HOST, address);
        request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, 0);
        CancelListener listener = new CancelListener(intentId, callback);
        UpstreamExchange.start(pools, eventLoop, address, request, TIMEOUT_MILLIS, listener);
    }

    private static final class CancelListener implements ExchangeListener {
        private final String intentId;
        private final Consumer<@Nullable StreamCancelled> callback;
        private final ByteBuf body = Unpooled.buffer();
        private boolean succeeded;

        CancelListener(String intentId, Consumer<@Nullable StreamCancelled> callback) {
            this.intentId = intentId;
            this.callback = callback;
        }

        @Override
        public void onHead(HttpResponse head) {
            succeeded = head.status().code() == 200;
        }

        @Override
        public void onBody(ByteBuf content) {
            body.writeBytes(content);
            content.release();
        }

        @Override
        public void onCompleted() {
            callback.accept(succeeded ? parse() : null);
        }

        private @Nullable StreamCancelled parse() {
            try {
                JsonNode node = MAPPER.readTree(ByteBufUtil.getBytes(body));
                long tokens = node.path("tokens").asLong();
                return new StreamCancelled(
                        intentId, tokens, node.path("tombstone").asBoolean(false));
            } catch (IOException e) {
                return null;
            }
        }

        @Override
        public void onNotSent(String detail) {
            callback.accept(null);
        }

        @Override
        public void onFailed(String detail) {
            callback.accept(null);
        }

        @Override
        public void onMisdirected(String otherId) {
            callback.accept(null);
        }
    }
}
