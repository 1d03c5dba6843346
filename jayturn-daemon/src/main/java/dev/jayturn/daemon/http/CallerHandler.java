package dev.jayturn.daemon.http;

import com.google.common.base.Splitter;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import dev.jayturn.core.request.CallSpec;
import dev.jayturn.core.result.Refusal;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.rules.ModelRoute;
import dev.jayturn.core.rules.PlainService;
import dev.jayturn.core.rules.Principal;
import dev.jayturn.core.rules.RuleSet;
import dev.jayturn.daemon.api.BodyLimiter;
import dev.jayturn.daemon.head.RequestCodec;
import dev.jayturn.daemon.head.RequestGate;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.UUID;
import org.jspecify.annotations.Nullable;

/** Handles the requests of one caller connection, one after another in the order received. */
final class CallerHandler extends SimpleChannelInboundHandler<FullHttpRequest>
        implements RequestGate {
    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String SERVICES_PATH_PREFIX = "/services/";
    private static final String IDEMPOTENCY_KEY_HEADER = "idempotency-key";
    private static final int MAX_ID_CHARS = 200;
    private static final String BEARER_PREFIX = "Bearer ";
    private static final int FINGERPRINT_BYTES = 12;

    private final EntryServices services;
    private final Channel channel;
    private final RequestTimeoutHandler timeouts;
    private final BodyLimiter limiter;
    private @Nullable RequestCodec codec;
    private @Nullable HttpCall currentCall;
    private boolean requestInProgress;

    CallerHandler(
            EntryServices services,
            Channel channel,
            RequestTimeoutHandler timeouts,
            BodyLimiter limiter) {
        this.services = services;
        this.channel = channel;
        this.timeouts = timeouts;
        this.limiter = limiter;
    }

    void setCodec(RequestCodec newCodec) {
        codec = newCodec;
    }

    private RequestCodec codec() {
        return Objects.requireNonNull(codec);
    }

    @Override
    public boolean isPaused() {
        // What follows a refused request is received to be discarded; its output is shut down.
        return !limiter.isRefusing() && (requestInProgress || !channel.isWritable());
    }

    @Override
    public boolean isReadingStopped() {
        return false;
    }

    @Override
    public boolean isRunning() {
        return requestInProgress;
    }

    @Override
    public void onHeadRefused() {
        limiter.refuseHead();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        requestInProgress = true;
        timeouts.onRequestReceived();
        handleRequest(ctx, request);
        // Calls keep what they need of the head.
        codec().releaseHead();
    }

    private void handleRequest(ChannelHandlerContext ctx, FullHttpRequest request) {
        String requestId = request.headers().get(Responses.REQUEST_ID_HEADER, "");
        if (requestId.isEmpty()) {
            requestId = UUID.randomUUID().toString();
        }
        ResponseWriter response =
                new ResponseWriter(
                        ctx.channel(),
                        requestId,
                        keepsConnection(request),
                        services.metrics(),
                        this::onResponseFinished);
        String idempotencyKey = request.headers().get(IDEMPOTENCY_KEY_HEADER, "");
        boolean idTooLong =
                requestId.length() > MAX_ID_CHARS || idempotencyKey.length() > MAX_ID_CHARS;
        if (request.decoderResult().isFailure() || idTooLong) {
            response.refuse(Refusal.notRun(ResultCode.MALFORMED_REQUEST, "headers or ids"));
        } else if (request.uri().equals(CHAT_PATH) && request.method().equals(HttpMethod.POST)) {
            handleChat(ctx, request, response, idempotencyKey);
        } else if (request.uri().startsWith(SERVICES_PATH_PREFIX)) {
            handleService(ctx, request, response, idempotencyKey);
        } else {
            response.refuse(Refusal.notRun(ResultCode.NO_ROUTE, request.uri()));
        }
    }

    private boolean keepsConnection(FullHttpRequest request) {
        // What follows a malformed request cannot be decoded.
        return HttpUtil.isKeepAlive(request)
                && request.decoderResult().isSuccess()
                && !services.draining().get();
    }

    private void onResponseFinished() {
        currentCall = null;
        requestInProgress = false;
        limiter.release();
        timeouts.onResponseWritten();
        codec().resume();
    }

    private static String hashBearerKey(FullHttpRequest request) {
        String header = request.headers().get(HttpHeaderNames.AUTHORIZATION, "");
        String key =
                header.startsWith(BEARER_PREFIX) ? header.substring(BEARER_PREFIX.length()) : "";
        return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    }

    /** Returns a hash of method, URI and body that detects reuse of a key for another request. */
    private static String computeFingerprint(FullHttpRequest request, byte[] body) {
        byte[] hash =
                Hashing.sha256()
                        .newHasher()
                        .putString(request.method().name(), StandardCharsets.UTF_8)
                        .putString(request.uri(), StandardCharsets.UTF_8)
                        .putBytes(body)
                        .hash()
                        .asBytes();
        return BaseEncoding.base64Url().omitPadding().encode(hash, 0, FINGERPRINT_BYTES);
    }

    private void handleChat(
            ChannelHandlerContext ctx,
            FullHttpRequest request,
            ResponseWriter response,
            String idempotencyKey) {
        byte[] bytes = ByteBufUtil.getBytes(request.content());
        Either<ResultCode, ChatRequest> parsed = ChatRequest.parse(bytes);
        if (parsed.isLeft()) {
            response.refuse(Refusal.notRun(parsed.getLeft(), "body"));
            return;
        }
        String keyHash = hashBearerKey(request);
        String fingerprint = computeFingerprint(request, bytes);
        services.controlLoop()
                .execute(
                        () ->
                                startChat(
                                        ctx,
                                        response,
                                        parsed.get(),
                                        keyHash,
                                        idempotencyKey,
                                        fingerprint));
    }

    private void startChat(
            ChannelHandlerContext ctx,
            ResponseWriter response,
            ChatRequest chat,
            String keyHash,
            String idempotencyKey,
            String fingerprint) {
        Principal principal = findPrincipal(ctx, response, keyHash);
        if (principal == null) {
            return;
        }
        ModelRoute route = services.hub().rules().findModelRoute(chat.model());
        if (route == null) {
            refuse(ctx, response, ResultCode.NO_ROUTE, "model " + chat.model());
            return;
        }
        long maxOutputTokens = chat.maxOutputTokens(route.maxTokens());
        ChatCall call =
                new ChatCall(
                        services,
                        ctx.channel().eventLoop(),
                        response,
                        chat,
                        maxOutputTokens,
                        principal.priority(),
                        route.timeoutMillis());
        CallSpec spec =
                new CallSpec(
                        response.requestId(),
                        principal,
                        route.service(),
                        chat.model(),
                        route.policy(),
                        chat.prefixHash(),
                        chat.maxTotalTokens(maxOutputTokens),
                        idempotencyKey,
                        fingerprint,
                        true,
                        route.timeoutMillis());
        startCall(ctx, call, spec);
    }

    private void handleService(
            ChannelHandlerContext ctx,
            FullHttpRequest request,
            ResponseWriter response,
            String idempotencyKey) {
        byte[] bytes = ByteBufUtil.getBytes(request.content());
        String servicePath = request.uri().substring(SERVICES_PATH_PREFIX.length());
        List<String> parts = Splitter.on('/').limit(2).splitToList(servicePath);
        String uri = "/" + (parts.size() > 1 ? parts.get(1) : "");
        ServiceCall.ServiceRequest serviceRequest =
                new ServiceCall.ServiceRequest(
                        request.method(), uri, ServiceCall.forwardedHeaders(request), bytes);
        String keyHash = hashBearerKey(request);
        String fingerprint = computeFingerprint(request, bytes);
        services.controlLoop()
                .execute(
                        () ->
                                startService(
                                        ctx,
                                        response,
                                        parts.get(0),
                                        serviceRequest,
                                        keyHash,
                                        idempotencyKey,
                                        fingerprint));
    }

    private void startService(
            ChannelHandlerContext ctx,
            ResponseWriter response,
            String name,
            ServiceCall.ServiceRequest serviceRequest,
            String keyHash,
            String idempotencyKey,
            String fingerprint) {
        Principal principal = findPrincipal(ctx, response, keyHash);
        if (principal == null) {
            return;
        }
        PlainService service = services.hub().rules().findPlainService(name);
        if (service == null) {
            refuse(ctx, response, ResultCode.NO_ROUTE, "service " + name);
            return;
        }
        boolean repeatable = service.repeatableMethods().contains(serviceRequest.method().name());
        ServiceCall call =
                new ServiceCall(
                        services,
                        ctx.channel().eventLoop(),
                        response,
                        serviceRequest,
                        service.price(),
                        repeatable,
                        service.timeoutMillis());
        CallSpec spec =
                new CallSpec(
                        response.requestId(),
                        principal,
                        name,
                        "",
                        "least",
                        0,
                        service.price(),
                        idempotencyKey,
                        fingerprint,
                        repeatable,
                        service.timeoutMillis());
        startCall(ctx, call, spec);
    }

    private @Nullable Principal findPrincipal(
            ChannelHandlerContext ctx, ResponseWriter response, String keyHash) {
        if (!services.hub().isSynced()) {
            refuse(ctx, response, ResultCode.NOT_READY, "");
            return null;
        }
        RuleSet rules = services.hub().rules();
        Principal principal = rules.findPrincipal(keyHash);
        if (principal == null) {
            refuse(ctx, response, ResultCode.UNAUTHORIZED, "");
        }
        return principal;
    }

    private static void refuse(
            ChannelHandlerContext ctx, ResponseWriter response, ResultCode code, String detail) {
        ctx.channel().eventLoop().execute(() -> response.refuse(Refusal.notRun(code, detail)));
    }

    /**
     * Starts a call on the control loop, after registering it as the connection's current call so
     * that a disconnect of the caller reaches it.
     */
    private void startCall(ChannelHandlerContext ctx, HttpCall call, CallSpec spec) {
        ctx.channel()
                .eventLoop()
                .execute(
                        () -> {
                            currentCall = call;
                            services.controlLoop().execute(() -> call.start(spec));
                            if (!ctx.channel().isActive()) {
                                call.onCallerDisconnected();
                            }
                        });
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        HttpCall call = currentCall;
        currentCall = null;
        if (call != null) {
            call.onCallerDisconnected();
        }
        ctx.fireChannelInactive();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (currentCall != null) {
            currentCall.onWritabilityChanged();
        } else {
            codec().resume();
        }
        ctx.fireChannelWritabilityChanged();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
