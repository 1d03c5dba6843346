package dev.jayturn.lab.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.jayturn.lab.engine.EngineOptions.Fault;
import dev.jayturn.lab.http.Announcer;
import dev.jayturn.lab.http.HttpResponses;
import dev.jayturn.lab.http.LabServer;
import io.netty.buffer.ByteBufInputStream;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** An HTTP server around {@link EngineModel}; one thread steps the model. */
public final class EngineServer implements AutoCloseable {
    private static final long IDLE_POLL_MICROS = 500;
    private static final int HTTP_THREADS = 2;
    private static final int DEFAULT_PRIORITY = 5;
    private static final String STREAMS_PATH = "/v1/streams/";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final EngineOptions options;
    private final EngineModel model;
    private final ScheduledExecutorService modelExecutor =
            Executors.newSingleThreadScheduledExecutor();
    private final Deque<int[]> loadReports = new ArrayDeque<>();
    private final long incarnation = System.currentTimeMillis();
    private final LabServer server;
    private final @Nullable Announcer announcer;
    private long announcementSequence;
    private long requestCount;
    private volatile boolean leaving;

    /** Starts to serve and to announce itself. */
    public EngineServer(EngineOptions options) {
        this.options = options;
        this.model = new EngineModel(options.profile());
        this.server = new LabServer(options.listen(), HTTP_THREADS, this::handleRequest);
        this.modelExecutor.execute(this::step);
        this.announcer =
                options.announceTo().isEmpty()
                        ? null
                        : new Announcer(
                                options.announceTo(),
                                options.announcementToken(),
                                this::createAnnouncement);
    }

    /** Returns the address listened on. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** Announces that no new work is taken. */
    public void announceLeaving() {
        leaving = true;
        if (announcer != null) {
            announcer.announceNow();
        }
    }

    @Override
    public void close() {
        if (announcer != null) {
            announcer.close();
        }
        server.close();
        modelExecutor.shutdownNow();
    }

    private void step() {
        long micros = model.step();
        long wait = micros == 0 ? IDLE_POLL_MICROS : micros;
        if (!modelExecutor.isShutdown()) {
            modelExecutor.schedule(this::step, wait, TimeUnit.MICROSECONDS);
        }
    }

    private synchronized ObjectNode createAnnouncement() {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("id", options.id());
        node.put("service", options.service());
        node.put("address", "127.0.0.1:" + address().getPort());
        node.put("dataCentre", options.dataCentre());
        node.put("incarnation", incarnation);
        node.put("sequence", ++announcementSequence);
        options.models().forEach(node.putArray("models")::add);
        node.put("capacity", options.profile().capacity());
        node.put("fencing", options.fencing());
        node.put("tombstones", options.tombstones());
        node.put("leaving", leaving);
        loadReports.add(new int[] {model.runningCount(), model.queuedCount()});
        int[] report = loadReports.getFirst();
        if (loadReports.size() > 1 + options.reportLagMillis() / 1_000) {
            loadReports.removeFirst();
        }
        node.put("running", report[0]);
        node.put("queued", report[1]);
        return node;
    }

    private void handleRequest(Channel channel, FullHttpRequest request) {
        String uri = request.uri();
        String id = request.headers().get(HttpResponses.REQUEST_ID_HEADER, "");
        if (uri.equals("/v1/chat/completions")) {
            JsonNode body = parse(request);
            int priority = request.headers().getInt("x-jayturn-priority", DEFAULT_PRIORITY);
            modelExecutor.execute(() -> startChat(channel, id, body, priority));
        } else if (uri.startsWith(STREAMS_PATH) && uri.endsWith("/cancel")) {
            String stream = uri.substring(STREAMS_PATH.length(), uri.length() - "/cancel".length());
            modelExecutor.execute(() -> cancelStream(channel, stream));
        } else if (uri.startsWith(STREAMS_PATH) && uri.contains("/resume?from=")) {
            String stream = uri.substring(STREAMS_PATH.length(), uri.indexOf("/resume"));
            int from = Integer.parseInt(uri.substring(uri.indexOf('=') + 1));
            modelExecutor.execute(() -> resumeStream(channel, stream, from));
        } else {
            HttpResponses.write(channel, HttpResponseStatus.NOT_FOUND, id, "text/plain", "");
        }
    }

    private static JsonNode parse(FullHttpRequest request) {
        try (InputStream in = new ByteBufInputStream(request.content().duplicate())) {
            return MAPPER.readTree(in);
        } catch (IOException e) {
            return MAPPER.createObjectNode();
        }
    }

    private void startChat(Channel channel, String id, JsonNode body, int priority) {
        StringBuilder prompt = new StringBuilder();
        for (JsonNode message : body.path("messages")) {
            prompt.append(message.path("content").asText()).append('\n');
        }
        boolean stream = body.path("stream").asBoolean(false);
        int maxTokens = body.path("max_tokens").asInt(256);
        String modelName = body.path("model").asText();
        String shownId = id;
        Fault fault = nextFault();
        if (fault == Fault.CROSS) {
            shownId = "another-" + requestCount;
        }
        EngineResponse answer = new EngineResponse(channel, shownId, modelName, stream, fault);
        Sequence sequence = model.start(id, prompt.toString(), maxTokens, priority, answer);
        if (sequence == null) {
            HttpResponses.write(
                    channel, HttpResponseStatus.CONFLICT, id, "text/plain", "id refused");
        }
    }

    private Fault nextFault() {
        requestCount++;
        boolean faulty = options.faultEvery() > 0 && requestCount % options.faultEvery() == 0;
        return faulty ? options.fault() : Fault.NONE;
    }

    private void cancelStream(Channel channel, String id) {
        EngineModel.CancelResult cancelled = model.cancel(id);
        ObjectNode node = MAPPER.createObjectNode();
        node.put("id", id);
        node.put("state", cancelled.state());
        node.put("tokens", cancelled.usedTokens());
        node.put("tombstone", options.tombstones());
        HttpResponses.write(
                channel, HttpResponseStatus.OK, id, "application/json", node.toString());
    }

    private void resumeStream(Channel channel, String id, int from) {
        EngineResponse answer = new EngineResponse(channel, id, "", true, Fault.NONE);
        Sequence sequence = model.resume(id, answer);
        if (sequence == null) {
            HttpResponses.write(channel, HttpResponseStatus.NOT_FOUND, id, "text/plain", "");
            return;
        }
        for (int i = from; i < sequence.producedTokens(); i++) {
            answer.onToken(sequence, i, i + 1 == sequence.tokenCount());
        }
    }
}
