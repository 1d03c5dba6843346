package dev.jayturn.daemon.fleet;

import dev.jayturn.daemon.metrics.FleetMetrics;
import io.netty.handler.codec.http.FullHttpRequest;
import java.nio.charset.StandardCharsets;

/** Serves the metrics of a process as text. */
final class MetricsHandler implements HttpHandler {
    private static final String PATH = "/metrics";
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private final FleetMetrics metrics;

    MetricsHandler(FleetMetrics metrics) {
        this.metrics = metrics;
    }

    @Override
    public void handle(FullHttpRequest request, HttpResponder reply) {
        if (request.uri().equals(PATH)) {
            reply.send(OK, metrics.scrape().getBytes(StandardCharsets.UTF_8));
        } else {
            reply.send(NOT_FOUND, new byte[0]);
        }
    }
}
