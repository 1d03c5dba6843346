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
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.UUID;
import org.jspecify.annotations.Nullable;

/** One caller's connection: its requests are answered in turn. */
final class CallerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String SERVICES_PATH_PREFIX = "/services/";
    private static final String IDEMPOTENCY_KEY_HEADER = "idempotency-key";
    private static final int MAX_PIPELINED_REQUESTS = 16;
    private static final int MAX_ID_CHARS = 200;
    private static final String BEARER_PREFIX = "Bearer ";

    private final EntryServices services;
    private final Deque<FullHttpRequest> pendingRequests = new ArrayDeque<>();
    private @Nullable HttpCall currentCall;
    private boolean requestInProgress;

    CallerHandler(EntryServices services) {
        super(false);
        this.services = services;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        if (pendingRequests.size() >= MAX_PIPELINED_REQUESTS) {
            request.release();
            ctx.close();
            return;
        }
        pendingRequests.add(request);
        startNextRequest(ctx);
    }

    private void startNextRequest(ChannelHandlerContext ctx) {
        if (requestInProgress || pendingRequests.isEmpty()) {
            return;
        }
        requestInProgress = true;
        FullHttpRequest request = pendingRequests.remove();
        try {
            handleRequest(ctx, request);
        } finally {
            request.release();
        }
    }

    private void handleRequest(ChannelHandlerContext ctx, FullHttpRequest request) {
        String id = request.headers().get(Responses.REQUEST_ID_HEADER, "");
        if (id.isEmpty()) {
            id = UUID.randomUUID().toString();
        }
        ResponseWriter caller =
                new ResponseWriter(
                        ctx.channel(),
                        id,
                        HttpUtil.isKeepAlive(request) && !services.draining().get(),
                        services.metrics(),
                        () -> onResponseFinished(ctx));
        String key = request.headers().get(IDEMPOTENCY_KEY_HEADER, "");
        boolean badId = id.length() > MAX_ID_CHARS || key.length() > MAX_ID_CHARS;
        if (request.decoderResult().isFailure() || badId) {
            caller.refuse(Refusal.notRun(ResultCode.MALFORMED_REQUEST, "headers or ids"));
        } else if (request.uri().equals(CHAT_PATH) && request.method().equals(HttpMethod.POST)) {
            handleChat(ctx, request, caller, key);
        } else if (request.uri().startsWith(SERVICES_PATH_PREFIX)) {
            handleService(ctx, request, caller, key);
        } else {
            caller.refuse(Refusal.notRun(ResultCode.NO_ROUTE, request.uri()));
        }
    }

    private void onResponseFinished(ChannelHandlerContext ctx) {
        currentCall = null;
        requestInProgress = false;
        ctx.channel().eventLoop().execute(() -> startNextRequest(ctx));
    }

    private static String hashBearerKey(FullHttpRequest request) {
        String header = request.headers().get(HttpHeaderNames.AUTHORIZATION, "");
        String key =
                header.startsWith(BEARER_PREFIX) ? header.substring(BEARER_PREFIX.length()) : "";
        return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    }

    private static String fingerprint(FullHttpRequest request, byte[] body) {
        byte[] hash =
                Hashing.sha256()
                        .newHasher()
                        .putString(request.method().name(), StandardCharsets.UTF_8)
                        .putString(request.uri(), StandardCharsets.UTF_8)
                        .putBytes(body)
                        .hash()
                        .asBytes();
        return BaseEncoding.base64Url().omitPadding().encode(hash, 0, 12);
    }

    private void handleChat(
            ChannelHandlerContext ctx, FullHttpRequest request, ResponseWriter caller, String key) {
        byte[] bytes = ByteBufUtil.getBytes(request.content());
        Either<ResultCode, ChatRequest> parsed = ChatRequest.parse(bytes);
        if (parsed.isLeft()) {
            caller.refuse(Refusal.notRun(parsed.getLeft(), "body"));
            return;
        }
        String hash = hashBearerKey(request);
        String print = fingerprint(request, bytes);
        services.controlLoop()
                .execute(() -> startChat(ctx, caller, parsed.get(), hash, key, print));
    }

    private void startChat(
            ChannelHandlerContext ctx,
            ResponseWriter caller,
            ChatRequest chat,
            String keyHash,
            String key,
            String print) {
        Principal principal = findPrincipal(ctx, caller, keyHash);
        if (principal == null) {
            return;
        }
        ModelRoute route = services.hub().rules().findModelRoute(chat.model());
        if (route == null) {
            refuse(ctx, caller, ResultCode.NO_ROUTE, "model " + chat.model());
            return;
        }
        long cap = chat.maxOutputTokens(route.maxTokens());
        ChatCall call =
                new ChatCall(
                        services,
                        ctx.channel().eventLoop(),
                        caller,
                        chat,
                        cap,
                        principal.priority(),
                        route.timeoutMillis());
        CallSpec spec =
                new CallSpec(
                        caller.requestId(),
                        principal,
                        route.service(),
                        chat.model(),
                        route.policy(),
                        chat.prefixHash(),
                        chat.maxTotalTokens(cap),
                        key,
                        print,
                        true,
                        route.timeoutMillis());
        startCall(ctx, call, spec);
    }

    private void handleService(
            ChannelHandlerContext ctx, FullHttpRequest request, ResponseWriter caller, String key) {
        byte[] bytes = ByteBufUtil.getBytes(request.content());
        String path = request.uri().substring(SERVICES_PATH_PREFIX.length());
        List<String> parts = Splitter.on('/').limit(2).splitToList(path);
        String uri = "/" + (parts.size() > 1 ? parts.get(1) : "");
        ServiceCall.ServiceRequest asked =
                new ServiceCall.ServiceRequest(
                        request.method(), uri, request.headers().copy(), bytes);
        String hash = hashBearerKey(request);
        String print = fingerprint(request, bytes);
        services.controlLoop()
                .execute(() -> startService(ctx, caller, parts.get(0), asked, hash, key, print));
    }

    private void startService(
            ChannelHandlerContext ctx,
            ResponseWriter caller,
            String name,
            ServiceCall.ServiceRequest asked,
            String keyHash,
            String key,
            String print) {
        Principal principal = findPrincipal(ctx, caller, keyHash);
        if (principal == null) {
            return;
        }
        PlainService service = services.hub().rules().findPlainService(name);
        if (service == null) {
            refuse(ctx, caller, ResultCode.NO_ROUTE, "service " + name);
            return;
        }
        boolean mayRepeat = service.repeatableMethods().contains(asked.method().name());
        ServiceCall call =
                new ServiceCall(
                        services,
                        ctx.channel().eventLoop(),
                        caller,
                        asked,
                        service.price(),
                        mayRepeat,
                        service.timeoutMillis());
        CallSpec spec =
                new CallSpec(
                        caller.requestId(),
                        principal,
                        name,
                        "",
                        "least",
                        0,
                        service.price(),
                        key,
                        print,
                        mayRepeat,
                        service.timeoutMillis());
        startCall(ctx, call, spec);
    }

    private @Nullable Principal findPrincipal(
            ChannelHandlerContext ctx, ResponseWriter caller, String keyHash) {
        if (!services.hub().isSynced()) {
            refuse(ctx, caller, ResultCode.NOT_READY, "");
            return null;
        }
        RuleSet rules = services.hub().rules();
        Principal principal = rules.findPrincipal(keyHash);
        if (principal == null) {
            refuse(ctx, caller, ResultCode.UNAUTHORIZED, "");
        }
        return principal;
    }

    private static void refuse(
            ChannelHandlerContext ctx, ResponseWriter caller, ResultCode code, String detail) {
        ctx.channel().eventLoop().execute(() -> caller.refuse(Refusal.notRun(code, detail)));
    }

    /** Starts a call on the control loop, known to the connection first. */
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
        for (FullHttpRequest request : pendingRequests) {
            request.release();
        }
        pendingRequests.clear();
        HttpCall running = currentCall;
        currentCall = null;
        if (running != null) {
            running.onCallerDisconnected();
        }
        ctx.fireChannelInactive();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (currentCall != null) {
            currentCall.onWritabilityChanged();
        }
        ctx.fireChannelWritabilityChanged();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
