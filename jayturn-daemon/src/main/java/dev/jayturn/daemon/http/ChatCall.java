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

/** A chat completion call, with a streamed or a complete response. */
final class ChatCall extends HttpCall {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_RESPONSE_BYTES = 8 << 20;
    private static final int MAX_RESUMES = 2;

    /** The call ran; its answer is not recorded for replay. */
    private static final CallOutcome RAN_WITHOUT_ANSWER =
            CallOutcome.withoutAnswer(CallOutcome.State.RAN);

    private final ChatRequest request;
    private final long maxOutputTokens;
    private final int priority;
    private final long timeoutMillis;
    private final ByteBuf responseBody = Unpooled.buffer();
    private SseFilter sseFilter = new SseFilter("");
    private int status;
    private int resumeCount;

    ChatCall(
            EntryServices services,
            EventLoop eventLoop,
            ResponseWriter response,
            ChatRequest request,
            long maxOutputTokens,
            int priority,
            long timeoutMillis) {
        super(services, eventLoop, response);
        this.request = request;
        this.maxOutputTokens = maxOutputTokens;
        this.priority = priority;
        this.timeoutMillis = timeoutMillis;
    }

    @Override
    void sendRequest(String address) {
        sseFilter = new SseFilter(intentId);
        responseBody.clear();
        resumeCount = 0;
        FullHttpRequest upstreamRequest =
                UpstreamRequests.create(
                        HttpMethod.POST,
                        "/v1/chat/completions",
                        address,
                        intentId,
                        request.upstreamBody(maxOutputTokens));
        upstreamRequest.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        upstreamRequest.headers().setInt("x-jayturn-priority", priority);
        startExchange(address, upstreamRequest, timeoutMillis);
    }

    @Override
    public void onHead(HttpResponse head) {
        status = head.status().code();
    }

    @Override
    public void onBody(ByteBuf content) {
        if (status != 200 || !request.isStream()) {
            appendToBody(content);
            return;
        }
        int tokenEventsBefore = sseFilter.tokenEvents();
        ByteBuf events = sseFilter.filter(content);
        for (int i = sseFilter.takeMisdirectedEvents(); i > 0; i--) {
            services.metrics().recordMisdirectedAnswer();
        }
        if (tokenEventsBefore == 0 && sseFilter.tokenEvents() > 0) {
            services.metrics().recordTimeToFirstToken(elapsedNanos());
        }
        services.metrics().recordRelayedTokens(sseFilter.tokenEvents() - tokenEventsBefore);
        if (events.isReadable()) {
            response.writeEvents(events);
        } else {
            events.release();
        }
        if (sseFilter.isOverflowing() && exchange != null) {
            exchange.abort();
            onFailed("an event exceeds the size limit");
        }
    }

    private void appendToBody(ByteBuf content) {
        if (responseBody.readableBytes() + content.readableBytes() <= MAX_RESPONSE_BYTES) {
            responseBody.writeBytes(content);
        }
        content.release();
    }

    @Override
    public void onCompleted() {
        if (status == 200 && request.isStream()) {
            completeStream();
        } else if (status == 200) {
            completeResponse();
        } else {
            completeErrorStatus();
        }
    }

    private void completeStream() {
        if (!sseFilter.isDone()) {
            onFailed("the stream ended without the [DONE] event");
            return;
        }
        String intent = intentId;
        long tokens = sseFilter.tokens();
        notifyCall(c -> c.onCompleted(intent, tokens, RAN_WITHOUT_ANSWER));
        response.endStream();
    }

    private void completeResponse() {
        byte[] bytes = ByteBufUtil.getBytes(responseBody);
        try {
            JsonNode node = MAPPER.readTree(bytes);
            if (!node.path("id").asText().equals(intentId)) {
                onMisdirected(node.path("id").asText());
                return;
            }
            String intent = intentId;
            long tokens = node.path("usage").path("total_tokens").asLong(maxOutputTokens);
            services.metrics()
                    .recordRelayedTokens(node.path("usage").path("completion_tokens").asInt(0));
            notifyCall(c -> c.onCompleted(intent, tokens, RAN_WITHOUT_ANSWER));
            response.writeResponse(ResultCode.OK, status, "application/json", bytes);
        } catch (IOException e) {
            onFailed("the response is not JSON");
        }
    }

    /**
     * Handles a response with a status other than 200. Statuses 409, 429 and 503 mean that the
     * upstream did not run the call, other 5xx statuses that it may have run; the call may be
     * retried at another upstream. Any other response goes to the caller.
     */
    private void completeErrorStatus() {
        String intent = intentId;
        int upstreamStatus = status;
        if (upstreamStatus == 409 || upstreamStatus == 429 || upstreamStatus == 503) {
            notifyCall(c -> c.onUpstreamRefused(intent, "status " + upstreamStatus));
        } else if (upstreamStatus >= 500) {
            onFailed("status " + upstreamStatus);
        } else {
            notifyCall(c -> c.onCompleted(intent, 0, RAN_WITHOUT_ANSWER));
            response.writeResponse(
                    ResultCode.OK,
                    upstreamStatus,
                    "application/json",
                    ByteBufUtil.getBytes(responseBody));
        }
    }

    @Override
    public void onFailed(String detail) {
        if (tryResumeStream()) {
            return;
        }
        super.onFailed(detail);
    }

    @Override
    public void onNotSent(String detail) {
        if (resumeCount == 0) {
            super.onNotSent(detail);
        } else {
            // Only the request to resume was not sent; the original request may have run.
            super.onFailed(detail);
        }
    }

    /**
     * Asks the same upstream to resume the stream after the last token event that was relayed.
     * Returns false if the stream has not started or the resume attempts are used up.
     */
    private boolean tryResumeStream() {
        Upstream servingUpstream = upstream;
        boolean streamStarted = request.isStream() && response.isHeadWritten();
        if (servingUpstream == null || !streamStarted || resumeCount >= MAX_RESUMES) {
            return false;
        }
        resumeCount++;
        sseFilter.discardPartialEvent();
        services.metrics().recordResumedStream();
        FullHttpRequest resume =
                UpstreamRequests.create(
                        HttpMethod.POST,
                        "/v1/streams/" + intentId + "/resume?from=" + sseFilter.tokenEvents(),
                        servingUpstream.address(),
                        intentId,
                        new byte[0]);
        startExchange(servingUpstream.address(), resume, timeoutMillis);
        return true;
    }

    @Override
    void reportFailure(ResultCode code) {
        String intent = intentId;
        boolean delivered = response.isHeadWritten();
        long tokens = sseFilter.tokenEvents();
        notifyCall(c -> c.onUpstreamFailed(intent, delivered, tokens, code));
    }

    @Override
    void onCallerDisconnected() {
        callerDisconnected = true;
        UpstreamExchange currentExchange = exchange;
        Upstream servingUpstream = upstream;
        if (currentExchange == null || servingUpstream == null) {
            notifyCall(c -> c.onCallerDisconnected(0));
            return;
        }
        currentExchange.abort();
        long relayedTokens = sseFilter.tokenEvents();
        services.streamCanceller()
                .cancel(
                        eventLoop,
                        servingUpstream.address(),
                        intentId,
                        cancelled -> {
                            long tokens = cancelled == null ? relayedTokens : cancelled.tokens();
                            notifyCall(c -> c.onCallerDisconnected(tokens));
                        });
    }
}
