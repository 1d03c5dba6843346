package dev.jayturn.lab.service;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.jayturn.lab.http.Announcer;
import dev.jayturn.lab.http.HttpResponses;
import dev.jayturn.lab.http.LabServer;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/** A plain service whose postings may not repeat; it counts the executions of each key. */
public final class ServiceServer implements AutoCloseable {
    private static final int CAPACITY = 256;

    private final String id;
    private final String service;
    private final String dataCentre;
    private final long delayMillis;
    private final int breakEvery;
    private final Map<String, AtomicLong> executionsByKey = new ConcurrentHashMap<>();
    private final AtomicLong postCount = new AtomicLong();
    private final AtomicLong announcementSequence = new AtomicLong();
    private final long incarnation = System.currentTimeMillis();
    private final LabServer server;
    private final @Nullable Announcer announcer;

    /**
     * Starts to serve and to announce itself.
     *
     * @param delayMillis time for a call
     * @param breakEvery one posting in so many is executed without an answer; 0 for none
     */
    public ServiceServer(
            String id,
            InetSocketAddress listen,
            String service,
            String dataCentre,
            List<String> announceTo,
            String token,
            long delayMillis,
            int breakEvery) {
        this.id = id;
        this.service = service;
        this.dataCentre = dataCentre;
        this.delayMillis = delayMillis;
        this.breakEvery = breakEvery;
        this.server = new LabServer(listen, 1, this::handleRequest);
        this.announcer =
                announceTo.isEmpty()
                        ? null
                        : new Announcer(announceTo, token, this::createAnnouncement);
    }

    /** Returns the address listened on. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** Returns how often a key was executed. */
    public long executionCount(String key) {
        AtomicLong count = executionsByKey.get(key);
        return count == null ? 0 : count.get();
    }

    @Override
    public void close() {
        if (announcer != null) {
            announcer.close();
        }
        server.close();
    }

    private ObjectNode createAnnouncement() {
        ObjectNode node = new ObjectMapper().createObjectNode();
        node.put("id", id);
        node.put("service", service);
        node.put("address", "127.0.0.1:" + address().getPort());
        node.put("dataCentre", dataCentre);
        node.put("incarnation", incarnation);
        node.put("sequence", announcementSequence.incrementAndGet());
        node.putArray("models");
        node.put("capacity", CAPACITY);
        node.put("fencing", false);
        node.put("tombstones", false);
        node.put("leaving", false);
        node.put("running", 0);
        node.put("queued", 0);
        return node;
    }

    private void handleRequest(Channel channel, FullHttpRequest request) {
        String requestId = request.headers().get(HttpResponses.REQUEST_ID_HEADER, "");
        if (request.uri().equals("/executions")) {
            HttpResponses.write(
                    channel, HttpResponseStatus.OK, requestId, "text/plain", formatExecutions());
            return;
        }
        if (request.method().equals(HttpMethod.GET)) {
            String body = "{\"path\":\"" + request.uri() + "\",\"slips\":3}";
            writeDelayed(channel, requestId, HttpResponseStatus.OK, body);
            return;
        }
        String key = request.headers().get("idempotency-key", "");
        executionsByKey.computeIfAbsent(key, k -> new AtomicLong()).incrementAndGet();
        long number = postCount.incrementAndGet();
        if (breakEvery > 0 && number % breakEvery == 0) {
            channel.close();
            return;
        }
        int bytes = request.content().toString(StandardCharsets.UTF_8).length();
        String body = "{\"posted\":" + number + ",\"key\":\"" + key + "\",\"bytes\":" + bytes + "}";
        writeDelayed(channel, requestId, HttpResponseStatus.CREATED, body);
    }

    private void writeDelayed(Channel channel, String id, HttpResponseStatus status, String body) {
        channel.eventLoop()
                .schedule(
                        () -> HttpResponses.write(channel, status, id, "application/json", body),
                        delayMillis,
                        TimeUnit.MILLISECONDS);
    }

    private String formatExecutions() {
        StringBuilder text = new StringBuilder();
        executionsByKey.forEach(
                (key, count) -> text.append(key).append(' ').append(count).append('\n'));
        return text.toString();
    }
}
