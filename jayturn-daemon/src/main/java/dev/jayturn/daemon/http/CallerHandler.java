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
    private static final String CHAT = "/v1/chat/completions";
    private static final String SERVICES = "/services/";
    private static final String KEY = "idempotency-key";
    private static final int MAX_PIPELINED = 16;
    private static final int MAX_ID_CHARS = 200;
    private static final String BEARER = "Bearer ";

    private final EntryServices services;
    private final Deque<FullHttpRequest> waiting = new ArrayDeque<>();
    private @Nullable HttpCall current;
    private boolean busy;

    CallerHandler(EntryServices services) {
        super(false);
        this.services = services;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        if (waiting.size() >= MAX_PIPELINED) {
            request.release();
            ctx.close();
            return;
        }
        waiting.add(request);
        next(ctx);
    }

    private void next(ChannelHandlerContext ctx) {
        if (busy || waiting.isEmpty()) {
            return;
        }
        busy = true;
        FullHttpRequest request = waiting.remove();
        try {
            answer(ctx, request);
        } finally {
            request.release();
        }
    }

    private void answer(ChannelHandlerContext ctx, FullHttpRequest request) {
        String id = request.headers().get(Problems.REQUEST_ID, "");
        if (id.isEmpty()) {
            id = UUID.randomUUID().toString();
        }
        CallerSide caller =
                new CallerSide(
                        ctx.channel(),
                        id,
                        HttpUtil.isKeepAlive(request) && !services.draining().get(),
                        services.metrics(),
                        () -> answered(ctx));
        String key = request.headers().get(KEY, "");
        boolean badId = id.length() > MAX_ID_CHARS || key.length() > MAX_ID_CHARS;
        if (request.decoderResult().isFailure() || badId) {
            caller.refuse(Refusal.notRun(ResultCode.MALFORMED_REQUEST, "headers or ids"));
        } else if (request.uri().equals(CHAT) && request.method().equals(HttpMethod.POST)) {
            chat(ctx, request, caller, key);
        } else if (request.uri().startsWith(SERVICES)) {
            service(ctx, request, caller, key);
        } else {
            caller.refuse(Refusal.notRun(ResultCode.NO_ROUTE, request.uri()));
        }
    }

    private void answered(ChannelHandlerContext ctx) {
        current = null;
        busy = false;
        ctx.channel().eventLoop().execute(() -> next(ctx));
    }

    private static String bearerHash(FullHttpRequest request) {
        String header = request.headers().get(HttpHeaderNames.AUTHORIZATION, "");
        String key = header.startsWith(BEARER) ? header.substring(BEARER.length()) : "";
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

    private void chat(
            ChannelHandlerContext ctx, FullHttpRequest request, CallerSide caller, String key) {
        byte[] bytes = ByteBufUtil.getBytes(request.content());
        Either<ResultCode, ChatRequest> parsed = ChatRequest.parse(bytes);
        if (parsed.isLeft()) {
            caller.refuse(Refusal.notRun(parsed.getLeft(), "body"));
            return;
        }
        String hash = bearerHash(request);
        String print = fingerprint(request, bytes);
        services.loop().execute(() -> startChat(ctx, caller, parsed.get(), hash, key, print));
    }

    private void startChat(
            ChannelHandlerContext ctx,
            CallerSide caller,
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
        long cap = chat.cap(route.maxTokens());
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
                        chat.reserve(cap),
                        key,
                        print,
                        true,
                        route.timeoutMillis());
        begin(ctx, call, spec);
    }

    private void service(
            ChannelHandlerContext ctx, FullHttpRequest request, CallerSide caller, String key) {
        byte[] bytes = ByteBufUtil.getBytes(request.content());
        String path = request.uri().substring(SERVICES.length());
        List<String> parts = Splitter.on('/').limit(2).splitToList(path);
        String uri = "/" + (parts.size() > 1 ? parts.get(1) : "");
        ServiceCall.ServiceRequest asked =
                new ServiceCall.ServiceRequest(
                        request.method(), uri, request.headers().copy(), bytes);
        String hash = bearerHash(request);
        String print = fingerprint(request, bytes);
        services.loop()
                .execute(() -> startService(ctx, caller, parts.get(0), asked, hash, key, print));
    }

    private void startService(
            ChannelHandlerContext ctx,
            CallerSide caller,
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
        begin(ctx, call, spec);
    }

    private @Nullable Principal findPrincipal(
            ChannelHandlerContext ctx, CallerSide caller, String keyHash) {
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
            ChannelHandlerContext ctx, CallerSide caller, ResultCode code, String detail) {
        ctx.channel().eventLoop().execute(() -> caller.refuse(Refusal.notRun(code, detail)));
    }

    /** Starts a call on the control loop, known to the connection first. */
    private void begin(ChannelHandlerContext ctx, HttpCall call, CallSpec spec) {
        ctx.channel()
                .eventLoop()
                .execute(
                        () -> {
                            current = call;
                            services.loop().execute(() -> call.start(spec));
                            if (!ctx.channel().isActive()) {
                                call.callerGone();
                            }
                        });
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        for (FullHttpRequest request : waiting) {
            request.release();
        }
        waiting.clear();
        HttpCall running = current;
        current = null;
        if (running != null) {
            running.callerGone();
        }
        ctx.fireChannelInactive();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (current != null) {
            current.writabilityChanged();
        }
        ctx.fireChannelWritabilityChanged();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
