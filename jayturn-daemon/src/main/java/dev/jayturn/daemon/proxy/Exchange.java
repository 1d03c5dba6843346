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
final class Exchange implements TokenHold.Outcome {
    private static final long TOKEN_RETRY_MILLIS = 1_000;
    private static final long BUSY_RETRY_MILLIS = 300;

    /** How long a request waits for the configuration of an instance that starts. */
    private static final long START_WAIT_MILLIS = 1_500;

    /** A part of its deadline is the most that a request waits for that. */
    private static final int DEADLINE_PART = 2;

    /** The caller's next connection is to another instance, which may have room now. */
    private static final long LINK_RETRY_MILLIS = 50;

    /** Ranks of routes within one rank of customers. */
    private static final int ROUTE_RANKS = 3;

    /** Upstreams tried that turned out not to be there or to be another one. */
    private static final int MAX_UNSENT = 4;

    private final Forwarder forwarder;
    private final CallerConnection caller;
    private final HttpRequest head;
    private final CallerRequest request;
    private final ByteBuf body;
    private final long receivedMillis;
    private final ExchangeLog log;
    private final Set<String> tried = new HashSet<>();
    private @Nullable Route route;
    private @Nullable Service service;
    private @Nullable TokenHold tokens;
    private @Nullable Cancellable timeout;
    private @Nullable Attempt attempt;
    private @Nullable EventScanner scanner;
    private String customer = "";
    private int priority;
    private long endMillis;
    private int sends;
    private int sendsNotRun;
    private int unsent;
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
        forwarder.opened();
    }

    void start() {
        if (forwarder.routes() != null || !forwarder.startWaiters().tryAdd(this::route)) {
            route();
            return;
        }
        long most = request.deadlineMillis() / DEADLINE_PART;
        long wait = most > 0 ? Math.min(START_WAIT_MILLIS, most) : START_WAIT_MILLIS;
        timeout = forwarder.timers().schedule(wait, this::route);
    }

    private void route() {
        if (ended || route != null) {
            return;
        }
        cancelTimeout();
        RouteTable table = forwarder.routes();
        EntryInstance fleet = forwarder.fleet();
        if (table == null || fleet == null) {
            refuse(ResultCode.NOT_READY, BUSY_RETRY_MILLIS);
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
            holder = table.findCustomer(request.key());
            if (holder == null) {
                refuse(ResultCode.UNAUTHORIZED, 0);
                return;
            }
            customer = holder.name();
            priority = holder.priority() * ROUTE_RANKS + matched.priority();
        }
        service = table.findService(ServiceSelector.select(matched, forwarder.random()));
        boolean streams = request.work().promptTokens() > 0;
        if (!forwarder.link().hasCapacity(streams)) {
            log.linkFull(forwarder.link());
            refuse(ResultCode.LINK_FULL, LINK_RETRY_MILLIS);
            return;
        }
        long wait = matched.timeoutMillis();
        long waited = forwarder.timers().nowMillis() - receivedMillis;
        if (request.deadlineMillis() > 0) {
            wait = Math.min(wait, request.deadlineMillis());
        }
        endMillis = receivedMillis + wait;
        timeout = forwarder.timers().schedule(wait - waited, this::onTimeout);
        long most = request.work().maxTokens();
        if (holder != null && holder.prepaidTokens().isPresent() && most > 0) {
            TokenHold hold =
                    new TokenHold(
                            forwarder.timers(),
                            forwarder.tokenWaiters(),
                            fleet,
                            customer,
                            most,
                            this);
            tokens = hold;
            hold.take();
        } else {
            held();
        }
    }

    @Override
    public void held() {
        log.held(forwarder.timers().nowMillis() - receivedMillis);
        Service target = service;
        if (target != null) {
            forwarder.retries(target.name()).recordRequest();
        }
        dispatch();
    }

    @Override
    public void refused(ResultCode code) {
        TokenHold hold = tokens;
        if (hold != null) {
            log.shortOfTokens(hold, customer);
        }
        refuse(code, code == ResultCode.BUDGET_SPENT ? 0 : TOKEN_RETRY_MILLIS);
    }

    private void dispatch() {
        Service target = service;
        if (target == null) {
            giveUp(ResultCode.NO_UPSTREAM, BUSY_RETRY_MILLIS);
            return;
        }
        long now = forwarder.timers().nowMillis();
        Dispatcher.Query query =
                new Dispatcher.Query(target.name(), request.work(), tried, endMillis - now, now);
        Dispatcher.Decision decision =
                forwarder.dispatcher().decide(query, u -> forwarder.hasConnection(target, u));
        UpstreamLoad upstream = decision.upstream();
        if (upstream == null) {
            giveUp(decision.code(), decision.retryAfterMillis());
            return;
        }
        log.placed(decision, upstream, request.work());
        Attempt next = new Attempt(this, upstream, request.work(), forwarder);
        attempt = next;
        forwarder
                .pools()
                .of(upstream)
                .send(upstreamRequest(upstream), request.id(), next, next::onConnection);
    }

    private FullHttpRequest upstreamRequest(UpstreamLoad upstream) {
        EventScanner events = scanner;
        UpstreamCall call =
                new UpstreamCall(
                        upstream.heartbeat().id(),
                        customer,
                        Math.max(1, endMillis - forwarder.timers().nowMillis()),
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
        sends++;
    }

    /** Returns whether the caller has been sent part of a stream. */
    boolean hasStream() {
        return scanner != null;
    }

    boolean holdsPartOfEvent() {
        EventScanner events = scanner;
        return events != null && events.holdsPart();
    }

    /** The head of an answer that the caller gets. */
    void onAnswer(HttpResponse response, boolean success) {
        log.answered(forwarder.timers().nowMillis() - receivedMillis);
        if (scanner != null) {
            return;
        }
        Route taken = route;
        if (success && taken != null && taken.kind() == RequestKind.STREAM) {
            scanner = new EventScanner(caller.allocator(), request.lastEventId());
        }
        headSent = true;
        caller.answerHead(response);
    }

    void onBody(ByteBuf bytes) {
        EventScanner events = scanner;
        if (events == null) {
            caller.answerBody(bytes.retain());
            return;
        }
        ByteBuf whole = events.scan(bytes);
        if (whole.isReadable()) {
            caller.answerBody(whole);
        } else {
            whole.release();
        }
    }

    void onDone() {
        attempt = null;
        caller.answerEnd();
        end(ResultCode.OK);
    }

    /** An attempt gave no answer for the caller: another one is made, or the request fails. */
    void onFailure(Attempt failed, Attempt.Failure failure) {
        attempt = null;
        tried.add(failed.upstream().heartbeat().id());
        log.failed(failed.upstream(), failure);
        switch (failure) {
            case MISDIRECTED:
                forwarder.book().remove(failed.upstream());
                sends--;
                retryUnsent(failure);
                break;
            case UNREACHABLE:
                retryUnsent(failure);
                break;
            case DECLINED:
                sendsNotRun++;
                sendAgainOr(failure, takeRepeat());
                break;
            case REPLACED:
                sendAgainOr(failure, true);
                break;
            default:
                dropPartOfEvent();
                boolean repeats = failed.wasSent() && (!headSent || hasStream());
                sendAgainOr(failure, repeats && takeRepeat());
                break;
        }
    }

    private void dropPartOfEvent() {
        EventScanner events = scanner;
        if (events != null) {
            events.dropPart();
        }
    }

    private void retryUnsent(Attempt.Failure failure) {
        if (++unsent <= MAX_UNSENT) {
            dispatch();
        } else {
            giveUp(failure.code(), BUSY_RETRY_MILLIS);
        }
    }

    private void sendAgainOr(Attempt.Failure failure, boolean again) {
        if (again) {
            dispatch();
        } else {
            giveUp(failure.code(), BUSY_RETRY_MILLIS);
        }
    }

    private boolean mayHaveRun() {
        return sends > sendsNotRun;
    }

    /** Returns whether the request may go to one more upstream, and counts that if so. */
    boolean takeRepeat() {
        Route taken = route;
        Service target = service;
        return taken != null
                && target != null
                && (taken.isRepeatable() || !mayHaveRun())
                && sends < taken.maxAttempts()
                && forwarder.retries(target.name()).tryAcquire(forwarder.instances());
    }

    /** The caller has gone: whatever runs for it is stopped. */
    void onCallerGone() {
        if (!ended) {
            end(ResultCode.CALLER_GONE);
        }
    }

    /** The caller reads again, or is too slow to take more. */
    void onCallerWritable(boolean writable) {
        Attempt running = attempt;
        if (running != null) {
            running.setReading(writable);
        }
    }

    private void onTimeout() {
        if (!ended) {
            giveUp(ResultCode.UPSTREAM_TIMEOUT, 0);
        }
    }

    /** Ends with an answer of our own, or by breaking off one that has begun. */
    private void giveUp(ResultCode code, long retryAfterMillis) {
        if (headSent) {
            caller.breakOff();
            end(code);
            return;
        }
        // A status that says "not run" is given only where no upstream can have run the request.
        boolean saysNotRun = code.httpStatus() == 503 || code.httpStatus() == 429;
        if (mayHaveRun() && saysNotRun) {
            refuse(ResultCode.UPSTREAM_FAILED, 0);
        } else {
            refuse(code, retryAfterMillis);
        }
    }

    private void refuse(ResultCode code, long retryAfterMillis) {
        if (!ended) {
            caller.answerOwn(request.id(), code, retryAfterMillis);
            end(code);
        }
    }

    private void cancelTimeout() {
        Cancellable timer = timeout;
        timeout = null;
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
            running.stop();
        }
        long events = scanner == null ? 0 : scanner.events();
        TokenHold hold = tokens;
        if (hold != null) {
            hold.settle(mayHaveRun() ? request.work().promptTokens() + delivered(events) : 0);
        }
        log.ended(
                code,
                route == null ? "" : route.name(),
                customer,
                forwarder.timers().nowMillis() - receivedMillis,
                sends,
                events);
        if (scanner != null) {
            scanner.release();
        }
        body.release();
        forwarder.closed();
        caller.exchangeEnded();
    }

    /** Returns the output tokens of so many events, at their most. */
    private long delivered(long events) {
        Service target = service;
        Engine engine = target == null ? null : target.engine();
        if (engine == null) {
            return 0;
        }
        return Math.min(request.work().maxOutputTokens(), events * engine.maxTokensPerEvent());
    }
}
