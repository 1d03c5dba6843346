package dev.jayturn.daemon.proxy;

import dev.jayturn.core.configuration.RequestKind;
import dev.jayturn.core.configuration.Route;
import dev.jayturn.core.configuration.RouteTable;
import dev.jayturn.core.configuration.Service;
import dev.jayturn.core.dispatch.Dispatcher;
import dev.jayturn.core.dispatch.ServiceSelector;
import dev.jayturn.core.dispatch.UpstreamLoad;
import dev.jayturn.core.fleet.EntryInstance;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.resumption.OriginCallback;
import dev.jayturn.core.resumption.StreamOrigin;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * The processing of one request, from the receipt of its last byte to the end of its response.
 * Refusals of well-formed requests are decided here, because only this class knows whether the
 * request may have been executed; {@link CallerConnection} refuses malformed and oversized ones.
 */
final class Exchange implements TokenReservation.Callback, OriginCallback {
    /** Suggested retry delay if tokens may become available. */
    private static final long TOKEN_RETRY_AFTER_MILLIS = 1_000;

    private static final long DEFAULT_RETRY_AFTER_MILLIS = 300;

    /** Maximum time that a request waits for the first configuration of a starting instance. */
    private static final long MAX_CONFIGURATION_WAIT_MILLIS = 1_500;

    /** The wait for the configuration is also limited to the caller's timeout divided by this. */
    private static final int CONFIGURATION_WAIT_DIVISOR = 2;

    /** Short, because the caller's retry goes to another instance, which may have capacity. */
    private static final long OTHER_INSTANCE_RETRY_AFTER_MILLIS = 50;

    private final Forwarder forwarder;
    private final CallerConnection caller;
    private final HttpRequest head;
    private final CallerRequest request;
    private final ByteBuf body;
    private final RequestTimes times;
    private final ExchangeLog log;
    private final SendHistory history = new SendHistory();
    private final QuarantineCheck quarantineCheck;
    private final PermitWait permitWait;
    private final StreamProgress stream;
    private final StreamRecord streamRecord;
    private final RequestQuery query;
    private @Nullable Route route;
    private boolean prepaid;
    private @Nullable Service service;
    private @Nullable RequestDemand demand;
    private @Nullable TokenReservation tokenReservation;
    private @Nullable Attempt attempt;
    private String customer = "";
    private int priority;
    private boolean headSent;
    private boolean ended;

    Exchange(
            Forwarder forwarder,
            CallerConnection caller,
            HttpRequest head,
            CallerRequest request,
            ByteBuf body,
            long receivedMillis) {
        this.forwarder = forwarder;
        this.caller = caller;
        this.head = head;
        this.request = request;
        this.body = body;
        this.times =
                new RequestTimes(forwarder.timers(), forwarder.drainAdmission(), receivedMillis);
        this.query = new RequestQuery(forwarder, head, request, times, history);
        this.log = new ExchangeLog(forwarder, request.id());
        this.streamRecord = new StreamRecord(forwarder, request);
        this.stream = new StreamProgress(request.lastEventId(), this::recordOrigin);
        this.quarantineCheck =
                new QuarantineCheck(
                        forwarder.quarantine(),
                        request.profile(),
                        new RequestFingerprint(head.uri(), body),
                        () -> customer);
        this.permitWait =
                new PermitWait(
                        forwarder.timers(), forwarder.permitWaitQueue(), this::retryWithPermits);
        forwarder.onExchangeStarted(this);
    }

    /** Starts to process the request, or waits for the first configuration if there is none. */
    void start() {
        if (forwarder.routes() != null || !forwarder.startupQueue().tryAdd(this::route)) {
            route();
            return;
        }
        long waitMillis =
                request.partOfTimeoutMillis(
                        CONFIGURATION_WAIT_DIVISOR, MAX_CONFIGURATION_WAIT_MILLIS);
        times.schedule(waitMillis, this::route);
    }

    private void route() {
        if (ended || route != null) {
            return;
        }
        times.cancel();
        RouteTable table = forwarder.routes();
        if (table == null || forwarder.entryInstance() == null) {
            refuse(ResultCode.NOT_READY, DEFAULT_RETRY_AFTER_MILLIS);
            return;
        }
        RouteMatch match = RouteMatch.find(table, head, request.apiKey());
        Route matchedRoute = match.route();
        route = matchedRoute;
        if (matchedRoute == null || match.code() != ResultCode.OK) {
            refuse(match.code(), 0);
            return;
        }
        prepaid = match.prepaid();
        customer = match.customer();
        priority = match.priority();
        service = table.findService(ServiceSelector.select(matchedRoute, forwarder.random()));
        if (isQuarantined()) {
            return;
        }
        demand = RequestDemand.of(match, matchedRoute, request, body.readableBytes());
        if (!forwarder.hasLinkCapacity(demand)) {
            log.logLinkFull(forwarder.linkLimiter(), customer, body.readableBytes());
            refuse(ResultCode.LINK_FULL, OTHER_INSTANCE_RETRY_AFTER_MILLIS);
            return;
        }
        long timeoutMillis = request.timeoutMillis(matchedRoute.timeoutMillis());
        if (!times.startTimeout(timeoutMillis, this::onTimeout)) {
            refuse(ResultCode.BODY_TIMEOUT, 0);
            return;
        }
        if (matchedRoute.kind() == RequestKind.STREAM && stream.isResumed()) {
            streamRecord.find(customer, times.remainingMillis(), this);
        } else {
            reserveTokens();
        }
    }

    @Override
    public void onFound(StreamOrigin origin) {
        RouteTable table = forwarder.routes();
        Route currentRoute = route;
        if (ended || table == null || currentRoute == null) {
            return;
        }
        log.logResumption(request, origin, times.elapsedMillis());
        ResultCode code = ServiceSelector.checkResumption(currentRoute, origin);
        if (code != ResultCode.OK) {
            refuse(code, 0);
            return;
        }
        stream.setOrigin(origin);
        service = table.findService(origin.service());
        reserveTokens();
    }

    @Override
    public void onNotFound(boolean isCertain) {
        if (!ended) {
            log.logUnknownStream(request, isCertain, times.elapsedMillis());
            // The instance that began the stream may not have sent its record yet.
            refuse(ResultCode.STREAM_UNKNOWN, DEFAULT_RETRY_AFTER_MILLIS);
        }
    }

    private void recordOrigin(StreamOrigin origin) {
        Route currentRoute = route;
        if (currentRoute != null) {
            streamRecord.put(customer, currentRoute, origin);
        }
    }

    private void reserveTokens() {
        EntryInstance instance = forwarder.entryInstance();
        long maxTokens = request.profile().maxTokens();
        if (instance == null) {
            refuse(ResultCode.NOT_READY, DEFAULT_RETRY_AFTER_MILLIS);
            return;
        }
        if (!prepaid || maxTokens == 0) {
            onReserved();
            return;
        }
        TokenReservation reservation =
                forwarder.createReservation(instance, customer, maxTokens, demand, this);
        tokenReservation = reservation;
        reservation.reserve();
    }

    @Override
    public void onReserved() {
        log.recordTokenWait(times.elapsedMillis());
        Service target = service;
        if (target != null) {
            forwarder.retryBudgets().recordRequest(target.name());
        }
        times.onDispatched();
        dispatch();
    }

    @Override
    public void onRefused(ResultCode code) {
        TokenReservation reservation = tokenReservation;
        if (reservation != null) {
            log.logTokenShortage(reservation, customer);
        }
        refuse(code, code == ResultCode.BUDGET_SPENT ? 0 : TOKEN_RETRY_AFTER_MILLIS);
    }

    private void dispatch() {
        Service target = service;
        if (target == null) {
            fail(ResultCode.NO_UPSTREAM, DEFAULT_RETRY_AFTER_MILLIS);
            return;
        }
        // The verdict may have come while the request waited or was at another upstream.
        if (isQuarantined()) {
            return;
        }
        if (!stream.hasBegun() && !times.admits(route)) {
            fail(ResultCode.DRAINING, OTHER_INSTANCE_RETRY_AFTER_MILLIS);
            return;
        }
        Dispatcher.Decision decision = query.decide(target, stream);
        UpstreamLoad upstream = decision.upstream();
        if (upstream == null) {
            if (decision.code() != ResultCode.UPSTREAMS_LIMITED
                    || !permitWait.await(
                            forwarder.isPermitPending(target),
                            times.deadlineMillis(),
                            forwarder.rankOf(demand))) {
                fail(decision.code(), decision.retryAfterMillis());
            }
            return;
        }
        quarantineCheck.onSent();
        log.logPlacement(decision, upstream, request);
        Attempt next = new Attempt(this, upstream, request.profile(), forwarder);
        attempt = next;
        forwarder
                .pools()
                .poolOf(upstream)
                .send(() -> upstreamRequest(upstream), request.id(), next, next::onConnection);
    }

    /** Ends the request before the process does, so that the caller knows what has become of it. */
    void endForDrain() {
        if (ended) {
            return;
        }
        if (history.mayHaveExecuted()) {
            fail(ResultCode.UPSTREAM_TIMEOUT, 0);
        } else {
            fail(ResultCode.DRAINING, OTHER_INSTANCE_RETRY_AFTER_MILLIS);
        }
    }

    private void retryWithPermits() {
        if (!ended && attempt == null) {
            dispatch();
        }
    }

    /** Fails the request if it, or a part of its prompt, is in quarantine. */
    private boolean isQuarantined() {
        QuarantineCheck.Refusal refusal = quarantineCheck.refusal();
        if (refusal != null) {
            fail(refusal.code(), refusal.retryMillis());
        }
        return refusal != null;
    }

    private FullHttpRequest upstreamRequest(UpstreamLoad upstream) {
        UpstreamRequestMetadata metadata =
                new UpstreamRequestMetadata(
                        upstream.heartbeat().id(),
                        customer,
                        Math.max(1, times.remainingMillis()),
                        priority,
                        stream.lastEventId());
        return UpstreamRequests.create(forwarder.codec(), head, body, metadata);
    }

    void onSent() {
        log.recordSend(history.onSent());
    }

    /** Returns whether the request may be sent to the upstream that was chosen for it. */
    boolean admits(UpstreamLoad upstream) {
        Service target = service;
        return target != null && query.admits(target, stream, upstream);
    }

    QuarantineCheck quarantineCheck() {
        return quarantineCheck;
    }

    /** Returns whether the caller has a part of the response, a stream. */
    boolean goesOnWithStream() {
        return stream.hasBegun() || (stream.isResumed() && stream.origin() != null);
    }

    CallerConnection caller() {
        return caller;
    }

    StreamProgress stream() {
        return stream;
    }

    /**
     * Called with the head of a response that the caller gets. The head is not sent again if the
     * response resumes a stream.
     */
    void onResponseHead(HttpResponse response, boolean success) {
        log.recordFirstByte(times.elapsedMillis());
        if (stream.hasBegun()) {
            stream.startContinuation();
            return;
        }
        Route currentRoute = route;
        if (success && currentRoute != null && currentRoute.kind() == RequestKind.STREAM) {
            stream.begin(caller.allocator());
        }
        headSent = true;
        caller.sendHead(response);
    }

    /**
     * Called with bytes of the response body, which the caller of this method releases.
     *
     * @return false if the rest cannot be forwarded, because it is not of the stream or has an
     *     event of excessive length
     */
    boolean onResponseBody(Attempt source, ByteBuf bytes) {
        if (!stream.hasBegun()) {
            caller.sendBody(bytes.retain());
            return true;
        }
        ByteBuf completeEvents = stream.scan(source, bytes);
        if (completeEvents.isReadable()) {
            caller.sendBody(completeEvents);
        } else {
            completeEvents.release();
        }
        return !stream.isMalformed();
    }

    void onResponseComplete() {
        attempt = null;
        times.onServed(route);
        caller.sendEnd();
        end(ResultCode.OK);
    }

    /** Called when an attempt failed: retries the request, or fails it. */
    void onFailure(Attempt failed, Attempt.Failure failure) {
        attempt = null;
        history.onFailed(failed.upstream(), failure);
        caller.flushBody();
        log.logFailedAttempt(
                failed,
                failure,
                stream.eventCount(),
                request.profile(),
                quarantineCheck.fingerprint());
        switch (failure) {
            case MISDIRECTED:
                failed.upstream().requestMisdirected(forwarder.timers().nowMillis());
                history.onMisdirected();
                retryOrFail(failure, history.tryRetryUnsent() && tryAcquireRetry(failure));
                break;
            case UNREACHABLE:
            case WITHDRAWN:
                retryOrFail(failure, history.tryRetryUnsent());
                break;
            case DECLINED:
                history.onNotExecuted();
                retryOrFail(failure, tryAcquireRetry(failure));
                break;
            case REPLACED:
                // Attempt.classify has already acquired the retry.
                retryOrFail(failure, true);
                break;
            default:
                stream.discardPartialEvent();
                boolean retryable =
                        failed.wasSent()
                                && (!headSent || stream.hasBegun())
                                && stream.canBeContinued()
                                && failed.isRetryAllowed();
                retryOrFail(failure, retryable && tryAcquireRetry(failure));
                break;
        }
    }

    private void retryOrFail(Attempt.Failure failure, boolean retry) {
        if (retry) {
            dispatch();
        } else {
            fail(failure.resultCode(), DEFAULT_RETRY_AFTER_MILLIS);
        }
    }

    /**
     * Returns whether the request may be sent to one more upstream, and counts the retry in the
     * retry budget if so.
     */
    boolean tryAcquireRetry(Attempt.Failure cause) {
        Route currentRoute = route;
        Service target = service;
        return currentRoute != null
                && target != null
                && (currentRoute.isRepeatable() || !history.mayHaveExecuted())
                && history.sendCount() < currentRoute.maxAttempts()
                && forwarder.retryBudgets().tryAcquire(target.name(), request.id(), cause);
    }

    /** Called when the caller has disconnected; cancels the attempt in progress. */
    void onCallerDisconnected() {
        if (!ended) {
            end(ResultCode.CALLER_GONE);
        }
    }

    /** Called when the caller's connection becomes writable, or unwritable for a slow caller. */
    void onCallerWritabilityChanged(boolean writable) {
        Attempt currentAttempt = attempt;
        if (currentAttempt != null) {
            currentAttempt.setAutoRead(writable);
        }
    }

    private void onTimeout() {
        if (!ended) {
            fail(ResultCode.UPSTREAM_TIMEOUT, 0);
        }
    }

    /** Fails the request with an error response, or aborts a response that has begun. */
    private void fail(ResultCode code, long retryAfterMillis) {
        if (headSent) {
            caller.abortResponse();
            end(code);
            return;
        }
        // These statuses tell the caller that the request was not executed, so they are used only
        // if no upstream can have executed it.
        boolean meansNotExecuted = code.httpStatus() == 503 || code.httpStatus() == 429;
        if (history.mayHaveExecuted() && meansNotExecuted) {
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

    private void end(ResultCode code) {
        ended = true;
        times.cancel();
        Attempt currentAttempt = attempt;
        attempt = null;
        if (currentAttempt != null) {
            currentAttempt.cancel();
        }
        long eventCount = stream.eventCount();
        TokenReservation reservation = tokenReservation;
        if (reservation != null && history.mayHaveExecuted()) {
            reservation.settle(request.profile(), service, eventCount);
        } else if (reservation != null) {
            reservation.settle(0);
        }
        log.logEnd(
                code,
                route == null ? "" : route.name(),
                customer,
                times.elapsedMillis(),
                history.sendCount(),
                eventCount);
        stream.release();
        body.release();
        forwarder.onExchangeEnded(this);
        caller.onExchangeEnded();
    }
}
