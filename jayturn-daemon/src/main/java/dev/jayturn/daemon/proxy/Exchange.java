package dev.jayturn.daemon.proxy;

import dev.jayturn.core.configuration.Customer;
import dev.jayturn.core.configuration.Engine;
import dev.jayturn.core.configuration.RequestKind;
import dev.jayturn.core.configuration.Route;
import dev.jayturn.core.configuration.RouteTable;
import dev.jayturn.core.configuration.Service;
import dev.jayturn.core.dispatch.Dispatcher;
import dev.jayturn.core.dispatch.ServiceSelector;
import dev.jayturn.core.dispatch.UpstreamLoad;
import dev.jayturn.core.fleet.EntryInstance;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.timer.Cancellable;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * One request from its last byte to the end of its answer. It is the only place that knows whether
 * the request may have run, so every refusal is decided here.
 */
final class Exchange implements TokenReservation.Callback {
    private static final long TOKEN_RETRY_AFTER_MILLIS = 1_000;
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 300;

    /** How long a request waits for the configuration of an instance that starts. */
    private static final long MAX_CONFIGURATION_WAIT_MILLIS = 1_500;

    /** A part of its deadline is the most that a request waits for that. */
    private static final int CONFIGURATION_WAIT_DIVISOR = 2;

    /** The caller's next connection is to another instance, which may have room now. */
    private static final long LINK_FULL_RETRY_AFTER_MILLIS = 50;

    /** Ranks of routes within one rank of customers. */
    private static final int ROUTE_PRIORITIES = 3;

    /** Upstreams tried that turned out not to be there or to be another one. */
    private static final int MAX_UNSENT_RETRIES = 4;

    private final Forwarder forwarder;
    private final CallerConnection caller;
    private final HttpRequest head;
    private final CallerRequest request;
    private final ByteBuf body;
    private final long receivedMillis;
    private final ExchangeLog log;
    private final Set<String> triedIds = new HashSet<>();
    private @Nullable Route route;
    private @Nullable Service service;
    private @Nullable TokenReservation tokenReservation;
    private @Nullable Cancellable timeoutTimer;
    private @Nullable Attempt attempt;
    private @Nullable ServerSentEventScanner scanner;
    private String customer = "";
    private int priority;
    private long deadlineMillis;
    private int sendCount;
    private int notExecutedCount;
    private int unsentCount;
    private boolean headSent;
    private boolean ended;

    Exchange(
            Forwarder forwarder,
            CallerConnection caller,
            HttpRequest head,
            CallerRequest request,
            ByteBuf body) {
        this.forwarder = forwarder;
        this.caller = caller;
        this.head = head;
        this.request = request;
        this.body = body;
        this.receivedMillis = forwarder.timers().nowMillis();
        this.log = new ExchangeLog(forwarder.log(), forwarder.metrics(), request.id());
        forwarder.onExchangeStarted();
    }

    void start() {
        if (forwarder.routes() != null || !forwarder.startupQueue().tryAdd(this::route)) {
            route();
            return;
        }
        long most = request.timeoutMillis() / CONFIGURATION_WAIT_DIVISOR;
        long wait =
                most > 0
                        ? Math.min(MAX_CONFIGURATION_WAIT_MILLIS, most)
                        : MAX_CONFIGURATION_WAIT_MILLIS;
        timeoutTimer = forwarder.timers().schedule(wait, this::route);
    }

    private void route() {
        if (ended || route != null) {
            return;
        }
        cancelTimeout();
        RouteTable table = forwarder.routes();
        EntryInstance fleet = forwarder.entryInstance();
        if (table == null || fleet == null) {
            refuse(ResultCode.NOT_READY, DEFAULT_RETRY_AFTER_MILLIS);
            return;
        }
        Route matched = table.findRoute(head.headers().get(HttpHeaderNames.HOST, ""), head.uri());
        if (matched == null) {
            refuse(ResultCode.NO_ROUTE, 0);
            return;
        }
        route = matched;
        priority = matched.priority();
        Customer holder = null;
        if (table.configuration().keyRequired() && !matched.keyless()) {
            holder = table.findCustomer(request.apiKey());
            if (holder == null) {
                refuse(ResultCode.UNAUTHORIZED, 0);
                return;
            }
            customer = holder.name();
            priority = holder.priority() * ROUTE_PRIORITIES + matched.priority();
        }
        service = table.findService(ServiceSelector.select(matched, forwarder.random()));
        boolean streams = request.profile().promptTokens() > 0;
        if (!forwarder.linkLimiter().hasCapacity(streams)) {
            log.logLinkFull(forwarder.linkLimiter());
            refuse(ResultCode.LINK_FULL, LINK_FULL_RETRY_AFTER_MILLIS);
            return;
        }
        long wait = matched.timeoutMillis();
        long waited = forwarder.timers().nowMillis() - receivedMillis;
        if (request.timeoutMillis() > 0) {
            wait = Math.min(wait, request.timeoutMillis());
        }
        deadlineMillis = receivedMillis + wait;
        timeoutTimer = forwarder.timers().schedule(wait - waited, this::onTimeout);
        long most = request.profile().maxTokens();
        if (holder != null && holder.prepaidTokens().isPresent() && most > 0) {
            TokenReservation hold =
                    new TokenReservation(
                            forwarder.timers(),
                            forwarder.tokenWaitQueue(),
                            fleet,
                            customer,
                            most,
                            this);
            tokenReservation = hold;
            hold.reserve();
        } else {
            onReserved();
        }
    }

    @Override
    public void onReserved() {
        log.recordTokenWait(forwarder.timers().nowMillis() - receivedMillis);
        Service target = service;
        if (target != null) {
            forwarder.retryBudget(target.name()).recordRequest();
        }
        dispatch();
    }

    @Override
    public void onRefused(ResultCode code) {
        TokenReservation hold = tokenReservation;
        if (hold != null) {
            log.logTokenShortage(hold, customer);
        }
        refuse(code, code == ResultCode.BUDGET_SPENT ? 0 : TOKEN_RETRY_AFTER_MILLIS);
    }

    private void dispatch() {
        Service target = service;
        if (target == null) {
            fail(ResultCode.NO_UPSTREAM, DEFAULT_RETRY_AFTER_MILLIS);
            return;
        }
        long now = forwarder.timers().nowMillis();
        Dispatcher.Query query =
                new Dispatcher.Query(
                        target.name(), request.profile(), triedIds, deadlineMillis - now, now);
        Dispatcher.Decision decision =
                forwarder.dispatcher().decide(query, u -> forwarder.canConnect(target, u));
        UpstreamLoad upstream = decision.upstream();
        if (upstream == null) {
            fail(decision.code(), decision.retryAfterMillis());
            return;
        }
        log.logPlacement(decision, upstream, request.profile());
        Attempt next = new Attempt(this, upstream, request.profile(), forwarder);
        attempt = next;
        forwarder
                .pools()
                .poolOf(upstream)
                .send(upstreamRequest(upstream), request.id(), next, next::onConnection);
    }

    private FullHttpRequest upstreamRequest(UpstreamLoad upstream) {
        ServerSentEventScanner events = scanner;
        UpstreamRequestMetadata call =
                new UpstreamRequestMetadata(
                        upstream.heartbeat().id(),
                        customer,
                        Math.max(1, deadlineMillis - forwarder.timers().nowMillis()),
                        priority,
                        events == null ? request.lastEventId() : events.lastId());
        HttpHeaders headers = forwarder.codec().upstreamHeaders(head, call);
        if (body.isReadable() || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                head.method(),
                head.uri(),
                body.retainedDuplicate(),
                headers,
                new DefaultHttpHeaders());
    }

    void onSent() {
        sendCount++;
    }

    /** Returns whether the caller has been sent part of a stream. */
    boolean hasStreamStarted() {
        return scanner != null;
    }

    boolean hasPartialEvent() {
        ServerSentEventScanner events = scanner;
        return events != null && events.hasPartialEvent();
    }

    /** The head of an answer that the caller gets. */
    void onResponseHead(HttpResponse response, boolean success) {
        log.recordFirstByte(forwarder.timers().nowMillis() - receivedMillis);
        if (scanner != null) {
            return;
        }
        Route taken = route;
        if (success && taken != null && taken.kind() == RequestKind.STREAM) {
            scanner = new ServerSentEventScanner(caller.allocator(), request.lastEventId());
        }
        headSent = true;
        caller.sendHead(response);
    }

    void onResponseBody(ByteBuf bytes) {
        ServerSentEventScanner events = scanner;
        if (events == null) {
            caller.sendBody(bytes.retain());
            return;
        }
        ByteBuf whole = events.scan(bytes);
        if (whole.isReadable()) {
            caller.sendBody(whole);
        } else {
            whole.release();
        }
    }

    void onResponseComplete() {
        attempt = null;
        caller.sendEnd();
        end(ResultCode.OK);
    }

    /** An attempt gave no answer for the caller: another one is made, or the request fails. */
    void onFailure(Attempt failed, Attempt.Failure failure) {
        attempt = null;
        triedIds.add(failed.upstream().heartbeat().id());
        log.logFailedAttempt(failed.upstream(), failure);
        switch (failure) {
            case MISDIRECTED:
                forwarder.upstreams().remove(failed.upstream());
                sendCount--;
                retryUnsent(failure);
                break;
            case UNREACHABLE:
                retryUnsent(failure);
                break;
            case DECLINED:
                notExecutedCount++;
                retryOrFail(failure, tryAcquireRetry());
                break;
            case REPLACED:
                retryOrFail(failure, true);
                break;
            default:
                discardPartialEvent();
                boolean repeats = failed.wasSent() && (!headSent || hasStreamStarted());
                retryOrFail(failure, repeats && tryAcquireRetry());
                break;
        }
    }

    private void discardPartialEvent() {
        ServerSentEventScanner events = scanner;
        if (events != null) {
            events.discardPartialEvent();
        }
    }

    private void retryUnsent(Attempt.Failure failure) {
        if (++unsentCount <= MAX_UNSENT_RETRIES) {
            dispatch();
        } else {
            fail(failure.resultCode(), DEFAULT_RETRY_AFTER_MILLIS);
        }
    }

    private void retryOrFail(Attempt.Failure failure, boolean again) {
        if (again) {
            dispatch();
        } else {
            fail(failure.resultCode(), DEFAULT_RETRY_AFTER_MILLIS);
        }
    }

    private boolean mayHaveExecuted() {
        return sendCount > notExecutedCount;
    }

    /** Returns whether the request may go to one more upstream, and counts that if so. */
    boolean tryAcquireRetry() {
        Route taken = route;
        Service target = service;
        return taken != null
                && target != null
                && (taken.isRepeatable() || !mayHaveExecuted())
                && sendCount < taken.maxAttempts()
                && forwarder.retryBudget(target.name()).tryAcquire(forwarder.instanceCount());
    }

    /** The caller has gone: whatever runs for it is stopped. */
    void onCallerDisconnected() {
        if (!ended) {
            end(ResultCode.CALLER_GONE);
        }
    }

    /** The caller reads again, or is too slow to take more. */
    void onCallerWritabilityChanged(boolean writable) {
        Attempt running = attempt;
        if (running != null) {
            running.setAutoRead(writable);
        }
    }

    private void onTimeout() {
        if (!ended) {
            fail(ResultCode.UPSTREAM_TIMEOUT, 0);
        }
    }

    /** Ends with an answer of our own, or by breaking off one that has begun. */
    private void fail(ResultCode code, long retryAfterMillis) {
        if (headSent) {
            caller.abortResponse();
            end(code);
            return;
        }
        // A status that says "not run" is given only where no upstream can have run the request.
        boolean saysNotRun = code.httpStatus() == 503 || code.httpStatus() == 429;
        if (mayHaveExecuted() && saysNotRun) {
            refuse(ResultCode.UPSTREAM_FAILED, 0);
        } else {
            refuse(code, retryAfterMillis);
        }
    }

    private void refuse(ResultCode code, long retryAfterMillis) {
        if (!ended) {
            caller.sendErrorResponse(request.id(), code, retryAfterMillis);
            end(code);
        }
    }

    private void cancelTimeout() {
        Cancellable timer = timeoutTimer;
        timeoutTimer = null;
        if (timer != null) {
            timer.cancel();
        }
    }

    private void end(ResultCode code) {
        ended = true;
        cancelTimeout();
        Attempt running = attempt;
        attempt = null;
        if (running != null) {
            running.cancel();
        }
        long events = scanner == null ? 0 : scanner.eventCount();
        TokenReservation hold = tokenReservation;
        if (hold != null) {
            hold.settle(
                    mayHaveExecuted()
                            ? request.profile().promptTokens() + maxDeliveredTokens(events)
                            : 0);
        }
        log.logEnd(
                code,
                route == null ? "" : route.name(),
                customer,
                forwarder.timers().nowMillis() - receivedMillis,
                sendCount,
                events);
        if (scanner != null) {
            scanner.release();
        }
        body.release();
        forwarder.onExchangeEnded();
        caller.onExchangeEnded();
    }

    /** Returns the output tokens of so many events, at their most. */
    private long maxDeliveredTokens(long events) {
        Service target = service;
        Engine engine = target == null ? null : target.engine();
        if (engine == null) {
            return 0;
        }
        return Math.min(request.profile().maxOutputTokens(), events * engine.maxTokensPerEvent());
    }
}
