package dev.jayturn.daemon.proxy;

import dev.jayturn.core.configuration.Service;
import dev.jayturn.core.dispatch.Dispatcher;
import dev.jayturn.core.dispatch.UpstreamLoad;
import io.netty.handler.codec.http.HttpRequest;

/** What the dispatcher is asked about one request, as things stand at each decision. */
final class RequestQuery {
    private final Forwarder forwarder;
    private final CallerRequest request;
    private final RequestTimes times;
    private final SendHistory history;
    private final RequestRegions regions;

    RequestQuery(
            Forwarder forwarder,
            HttpRequest head,
            CallerRequest request,
            RequestTimes times,
            SendHistory history) {
        this.forwarder = forwarder;
        this.request = request;
        this.times = times;
        this.history = history;
        this.regions = new RequestRegions(forwarder::routes, head, request.apiKey());
    }

    /** Chooses an upstream of a service, or refuses the request. */
    Dispatcher.Decision decide(Service target, StreamProgress stream) {
        return forwarder
                .dispatcher()
                .decide(create(target, stream), upstream -> forwarder.canConnect(target, upstream));
    }

    private Dispatcher.Query create(Service target, StreamProgress stream) {
        return new Dispatcher.Query(
                target.name(),
                request.profile(),
                stream.origin(),
                history.triedIds(),
                times.remainingMillis(),
                forwarder.timers().nowMillis(),
                regions.allowed());
    }

    /** Returns whether an upstream that was chosen before may still get the request. */
    boolean admits(Service target, StreamProgress stream, UpstreamLoad upstream) {
        return forwarder.dispatcher().admits(create(target, stream), upstream);
    }
}
