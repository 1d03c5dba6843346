package dev.jayturn.daemon.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.jayturn.core.control.CallOutcome;
import dev.jayturn.core.membership.Upstream;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.daemon.upstream.UpstreamExchange;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.io.IOException;

/** A chat completion, streamed or whole. */
final class ChatCall extends HttpCall {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_WHOLE_BYTES = 8 << 20;
    private static final int MAX_RESUMES = 2;
    private static final CallOutcome DONE = CallOutcome.withoutAnswer(CallOutcome.State.RAN);

    private final ChatRequest request;
    private final long cap;
    private final int priority;
    private final long timeoutMillis;
    private final ByteBuf whole = Unpooled.buffer();
    private SseFilter filter = new SseFilter("");
    private int status;
    private int resumes;

    ChatCall(
            EntryServices services,
            EventLoop eventLoop,
            CallerSide caller,
            ChatRequest request,
            long cap,
            int priority,
            long timeoutMillis) {
        super(services, eventLoop, caller);
        this.request = request;
        this.cap = cap;
        this.priority = priority;
        this.timeoutMillis = timeoutMillis;
    }

    @Override
    void send(String address) {
        filter = new SseFilter(intentId);
        whole.clear();
        resumes = 0;
        FullHttpRequest sent =
                UpstreamRequests.create(
                        HttpMethod.POST,
                        "/v1/chat/completions",
                        address,
                        intentId,
                        request.upstreamBody(cap));
        sent.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        sent.headers().setInt("x-jayturn-priority", priority);
        exchange(address, sent, timeoutMillis);
    }

    @Override
    public void head(HttpResponse head) {
        status = head.status().code();
    }

    @Override
    public void body(ByteBuf content) {
        if (status != 200 || !request.isStream()) {
            collect(content);
            return;
        }
        int before = filter.events();
        ByteBuf events = filter.feed(content);
        for (int i = filter.takeForeign(); i > 0; i--) {
            services.metrics().crossed();
        }
        if (before == 0 && filter.events() > 0) {
            services.metrics().firstToken(elapsedNanos());
        }
        services.metrics().relayed(filter.events() - before);
        if (events.isReadable()) {
            caller.stream(events);
        } else {
            events.release();
        }
        if (filter.isOverflowing() && exchange != null) {
            exchange.abort();
            broke("an event exceeds the bound");
        }
    }

    private void collect(ByteBuf content) {
        if (whole.readableBytes() + content.readableBytes() <= MAX_WHOLE_BYTES) {
            whole.writeBytes(content);
        }
        content.release();
    }

    @Override
    public void ended() {
        if (status == 200 && request.isStream()) {
            endStream();
        } else if (status == 200) {
            endWhole();
        } else {
            endRefused();
        }
    }

    private void endStream() {
        if (!filter.isDone()) {
            broke("the stream has no end");
            return;
        }
        String intent = intentId;
        long tokens = filter.tokens();
        tell(c -> c.onCompleted(intent, tokens, DONE));
        caller.endStream();
    }

    private void endWhole() {
        byte[] bytes = ByteBufUtil.getBytes(whole);
        try {
            JsonNode node = MAPPER.readTree(bytes);
            if (!node.path("id").asText().equals(intentId)) {
                crossed(node.path("id").asText());
                return;
            }
            String intent = intentId;
            long tokens = node.path("usage").path("total_tokens").asLong(cap);
            services.metrics().relayed(node.path("usage").path("completion_tokens").asInt(0));
            tell(c -> c.onCompleted(intent, tokens, DONE));
            caller.whole(ResultCode.OK, status, "application/json", bytes);
        } catch (IOException e) {
            broke("the answer is no JSON");
        }
    }

    /** A refusal before anything ran moves on; a server error may be tried elsewhere. */
    private void endRefused() {
        String intent = intentId;
        int refused = status;
        if (refused == 409 || refused == 429 || refused == 503) {
            tell(c -> c.onUpstreamRefused(intent, "status " + refused));
        } else if (refused >= 500) {
            broke("status " + refused);
        } else {
            tell(c -> c.onCompleted(intent, 0, DONE));
            caller.whole(ResultCode.OK, refused, "application/json", ByteBufUtil.getBytes(whole));
        }
    }

    @Override
    public void broke(String detail) {
        if (resumeStream()) {
            return;
        }
        super.broke(detail);
    }

    @Override
    public void unsent(String detail) {
        if (resumes == 0) {
            super.unsent(detail);
        } else {
            super.broke(detail);
        }
    }

    /** Asks the same upstream to go on from the first token that the caller lacks. */
    private boolean resumeStream() {
        Upstream from = upstream;
        boolean running = request.isStream() && caller.isHeadWritten();
        if (from == null || !running || resumes >= MAX_RESUMES) {
            return false;
        }
        resumes++;
        filter.reset();
        services.metrics().resumed();
        FullHttpRequest resume =
                UpstreamRequests.create(
                        HttpMethod.POST,
                        "/v1/streams/" + intentId + "/resume?from=" + filter.events(),
                        from.address(),
                        intentId,
                        new byte[0]);
        exchange(from.address(), resume, timeoutMillis);
        return true;
    }

    @Override
    void brokeWith(ResultCode code) {
        String intent = intentId;
        boolean delivered = caller.isHeadWritten();
        long tokens = filter.events();
        tell(c -> c.onUpstreamFailed(intent, delivered, tokens, code));
    }

    @Override
    void callerGone() {
        gone = true;
        UpstreamExchange running = exchange;
        Upstream from = upstream;
        if (running == null || from == null) {
            tell(c -> c.onCallerDisconnected(0));
            return;
        }
        running.abort();
        long seen = filter.events();
        services.canceller()
                .cancel(
                        eventLoop,
                        from.address(),
                        intentId,
                        answer -> {
                            long tokens = answer == null ? seen : answer.tokens();
                            tell(c -> c.onCallerDisconnected(tokens));
                        });
    }
}
