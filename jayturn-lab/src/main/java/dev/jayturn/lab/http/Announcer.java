package dev.jayturn.lab.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Announces a stand-in to a list of instances every second, taking the next when one fails. */
public final class Announcer implements AutoCloseable {
    private static final long INTERVAL_MILLIS = 1_000;
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
    private final ObjectMapper mapper = new ObjectMapper();
    private final List<String> targets;
    private final String token;
    private final Supplier<ObjectNode> announcementSupplier;
    private int targetIndex;

    /** Starts to announce; the body is made anew each time. */
    public Announcer(List<String> targets, String token, Supplier<ObjectNode> body) {
        this.targets = List.copyOf(targets);
        this.token = token;
        this.announcementSupplier = body;
        executor.scheduleAtFixedRate(this::announce, 0, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void announce() {
        for (int tries = 0; tries < targets.size(); tries++) {
            if (send(targets.get(targetIndex), announcementSupplier.get())) {
                return;
            }
            targetIndex = (targetIndex + 1) % targets.size();
        }
    }

    private boolean send(String target, ObjectNode node) {
        try {
            HttpRequest.Builder request =
                    HttpRequest.newBuilder(URI.create("http://" + target + "/v1/announce"))
                            .timeout(TIMEOUT)
                            .header("Content-Type", "application/json")
                            .POST(
                                    HttpRequest.BodyPublishers.ofByteArray(
                                            mapper.writeValueAsBytes(node)));
            if (!token.isEmpty()) {
                request.header("Authorization", "Bearer " + token);
            }
            HttpResponse<Void> response =
                    client.send(request.build(), HttpResponse.BodyHandlers.discarding());
            return response.statusCode() == 200;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Announces once, now; for a leaving upstream. */
    public void announceNow() {
        executor.execute(this::announce);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
