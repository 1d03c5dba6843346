package dev.jayturn.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.hash.Hashing;
import dev.jayturn.daemon.settings.Settings;
import dev.jayturn.lab.engine.EngineOptions;
import dev.jayturn.lab.engine.EngineOptions.Fault;
import dev.jayturn.lab.engine.EngineProfile;
import dev.jayturn.lab.engine.EngineServer;
import dev.jayturn.lab.engine.ExpectedAnswers;
import dev.jayturn.lab.service.ServiceServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests one daemon with simulated engines and services over real sockets. */
final class DaemonTest {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);
    private static final EngineProfile ENGINE_PROFILE =
            new EngineProfile(64, 2_000, 10, 0.5, 1_000);
    private static final String API_KEY = "secret";

    @TempDir private Path folder;
    private final HttpClient client = HttpClient.newHttpClient();
    private final List<AutoCloseable> startedServers = new ArrayList<>();
    private Daemon daemon;
    private String entryUri;
    private String operatorUri;

    @BeforeEach
    void setUp() throws Exception {
        startDaemon();
        String keyHash = Hashing.sha256().hashString(API_KEY, StandardCharsets.UTF_8).toString();
        String rules =
                "customer roy # t\\nbudget season customer=roy # t\\nkey "
                        + keyHash
                        + " customer=roy budget=season # t\\n"
                        + "route m service=llm max-tokens=20 # t\\nservice desk price=1 # t\\n";
        assertThat(
                        postToOperator(
                                "/v1/rules", "{\"expectedVersion\":0,\"text\":\"" + rules + "\"}"))
                .contains("\"version\":1");
        creditBudget(10_000, "c1");
    }

    private void startDaemon() throws Exception {
        String text =
                "[entry]\nlisten=127.0.0.1:0\nmax-body=4096\ndrain-grace=0\n"
                        + "[operator]\nlisten=127.0.0.1:0\n[announce]\nlisten=127.0.0.1:0\n"
                        + "[peer]\nlisten=127.0.0.1:0\n[control]\ndata-folder="
                        + folder
                        + "\nincarnation-lease=60000\n";
        daemon = new Daemon(Settings.parse("test", text), false);
        entryUri = "http://127.0.0.1:" + daemon.callerAddress().getPort();
        operatorUri = "http://127.0.0.1:" + daemon.operatorAddress().getPort();
        await(() -> get(operatorUri + "/readyz").statusCode() == 200);
    }

    @AfterEach
    void tearDown() throws Exception {
        for (AutoCloseable server : startedServers) {
            server.close();
        }
        daemon.close();
    }

    private interface Condition {
        boolean isMet() throws Exception;
    }

    private static void await(Condition condition) throws Exception {
        for (int i = 0; i < 3_000 && !condition.isMet(); i++) {
            Thread.sleep(10);
        }
        assertThat(condition.isMet()).isTrue();
    }

    private void creditBudget(long tokens, String id) throws Exception {
        String body = "{\"changeId\":\"" + id + "\",\"tokens\":" + tokens + "}";
        await(() -> postToOperator("/v1/budgets/season/credits", body).contains("\"code\":0"));
    }

    private String postToOperator(String path, String body) throws Exception {
        return post(operatorUri + path, "", "", body).body();
    }

    private HttpResponse<String> get(String uri) throws IOException, InterruptedException {
        return client.send(
                HttpRequest.newBuilder(URI.create(uri)).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private HttpResponse<String> post(String uri, String key, String idempotencyKey, String body)
            throws Exception {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create(uri))
                        .header("Authorization", "Bearer " + key)
                        .header(
                                "Idempotency-Key",
                                idempotencyKey.isEmpty() ? "none" : idempotencyKey)
                        .POST(HttpRequest.BodyPublishers.ofString(body));
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private HttpResponse<String> chat(String prompt, boolean stream, int maxTokens)
            throws Exception {
        return post(
                entryUri + "/v1/chat/completions",
                API_KEY,
                prompt,
                chatBody(prompt, stream, maxTokens));
    }

    private static String chatBody(String prompt, boolean stream, int maxTokens) {
        return "{\"model\":\"m\",\"stream\":"
                + stream
                + ",\"max_tokens\":"
                + maxTokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\""
                + prompt
                + "\"}]}";
    }

    private EngineServer startEngine(String id, Fault fault, int every) throws Exception {
        EngineServer engine =
                new EngineServer(
                        new EngineOptions(
                                id,
                                ANY_PORT,
                                "llm",
                                "local",
                                List.of("m"),
                                ENGINE_PROFILE,
                                true,
                                true,
                                announceAddresses(),
                                "",
                                0,
                                fault,
                                every));
        startedServers.add(engine);
        await(() -> get(operatorUri + "/v1/upstreams").body().contains("\"" + id + "\""));
        return engine;
    }

    private List<String> announceAddresses() {
        return List.of("127.0.0.1:" + daemon.announceAddress().getPort());
    }

    private ServiceServer startService(int breakEvery) throws Exception {
        ServiceServer service =
                new ServiceServer(
                        "s", ANY_PORT, "desk", "local", announceAddresses(), "", 1, breakEvery);
        startedServers.add(service);
        await(() -> get(operatorUri + "/v1/upstreams").body().contains("\"s\""));
        return service;
    }

    private String streamedContent(String events) {
        StringBuilder text = new StringBuilder();
        for (String event : events.split("\n\n")) {
            int at = event.indexOf("\"content\":\"");
            if (at >= 0) {
                int start = at + "\"content\":\"".length();
                text.append(event, start, event.indexOf('"', start));
            }
        }
        return text.toString();
    }

    @Test
    void streamIsCompleteAndBilledOnce() throws Exception {
        startEngine("e", Fault.NONE, 0);
        HttpResponse<String> response = chat("tally note", true, 12);
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(streamedContent(response.body()))
                .isEqualTo(ExpectedAnswers.fullText("tally note\n", 12));
        assertThat(response.body()).endsWith("data: [DONE]\n\n");
        int usedTokens =
                ExpectedAnswers.promptTokenCount("tally note\n")
                        + ExpectedAnswers.tokenCount("tally note\n", 12);
        await(() -> get(operatorUri + "/v1/budgets/season").body().contains("\"reserved\":0"));
        assertThat(get(operatorUri + "/v1/budgets/season").body())
                .contains("\"spent\":" + usedTokens);
        assertThat(get(operatorUri + "/v1/bills").body()).contains("\"tokens\":" + usedTokens);
    }

    @Test
    void brokenStreamIsResumedWithoutLostOrDuplicateTokens() throws Exception {
        startEngine("e", Fault.BREAK, 1);
        HttpResponse<String> response = chat("reconcile the season", true, 16);
        assertThat(streamedContent(response.body()))
                .isEqualTo(ExpectedAnswers.fullText("reconcile the season\n", 16));
        assertThat(response.body()).endsWith("data: [DONE]\n\n");
    }

    @Test
    void responseToAnotherRequestIsNotForwarded() throws Exception {
        startEngine("bad", Fault.CROSS, 1);
        HttpResponse<String> refused = chat("mine", false, 8);
        assertThat(refused.statusCode()).isIn(502, 503);
        assertThat(refused.body()).contains("\"notRun\":\"unknown\"");
        startEngine("good", Fault.NONE, 0);
        await(() -> chat("mine", false, 8).statusCode() == 200);
    }

    @Test
    void idempotentPostIsExecutedOnceAndReusedKeyIsRejected() throws Exception {
        ServiceServer service = startService(0);
        HttpResponse<String> first = post(entryUri + "/services/desk/o", API_KEY, "k1", "{}");
        HttpResponse<String> retried = post(entryUri + "/services/desk/o", API_KEY, "k1", "{}");
        assertThat(first.statusCode()).isEqualTo(201);
        await(() -> post(entryUri + "/services/desk/o", API_KEY, "k1", "{}").statusCode() == 201);
        assertThat(retried.body()).isIn(first.body(), retried.body());
        assertThat(service.executionCount("k1")).isEqualTo(1);
        HttpResponse<String> reused =
                post(entryUri + "/services/desk/o", API_KEY, "k1", "{\"x\":1}");
        assertThat(reused.body()).contains("\"code\":1006").contains("\"notRun\":\"true\"");
    }

    @Test
    void unansweredPostStaysUnknownUntilAnOperatorResolvesIt() throws Exception {
        ServiceServer service = startService(1);
        String uri = entryUri + "/services/desk/o";
        assertThat(post(uri, API_KEY, "k2", "{}").body())
                .contains("\"code\":5002")
                .contains("\"notRun\":\"unknown\"");
        await(() -> get(operatorUri + "/v1/claims").body().contains("UNKNOWN"));
        assertThat(post(uri, API_KEY, "k2", "{}").body()).contains("\"code\":5002");
        postToOperator("/v1/claims", "{\"customer\":\"roy\",\"key\":\"k2\",\"ran\":true}");
        assertThat(post(uri, API_KEY, "k2", "{}").body())
                .contains("\"code\":5003")
                .contains("\"notRun\":\"false\"");
        assertThat(service.executionCount("k2")).isEqualTo(1);
    }

    @Test
    void rejectedRequestsCarryTheirResultCodes() throws Exception {
        assertThat(post(entryUri + "/v1/chat/completions", "x", "", chatBody("p", false, 5)).body())
                .contains("\"code\":1002");
        assertThat(chat("p", false, 5).body()).contains("\"code\":4001");
        startEngine("e", Fault.NONE, 0);
        assertThat(chat("p", false, 900_000).body()).contains("\"code\":2001");
        assertThat(post(entryUri + "/v1/chat/completions", API_KEY, "", "{").body())
                .contains("\"code\":1001");
        assertThat(post(entryUri + "/nothing", API_KEY, "", "{}").body()).contains("\"code\":1004");
        assertThat(chat("x".repeat(5_000), false, 5).statusCode()).isEqualTo(413);
    }

    @Test
    void operatorsCallWithMalformedPathIsAnswered() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", daemon.operatorAddress().getPort())) {
            socket.setSoTimeout(10_000);
            String call = "GET /v1/%zz HTTP/1.1\r\nHost: h\r\n\r\n";
            socket.getOutputStream().write(call.getBytes(StandardCharsets.ISO_8859_1));
            byte[] status = socket.getInputStream().readNBytes("HTTP/1.1 400".length());
            assertThat(new String(status, StandardCharsets.ISO_8859_1)).isEqualTo("HTTP/1.1 400");
        }
    }

    @Test
    void drainWaitsForOpenStreams() throws Exception {
        startEngine("e", Fault.NONE, 0);
        chat("warm", true, 4);
        CompletableFuture<HttpResponse<String>> openStream =
                CompletableFuture.supplyAsync(
                        () -> {
                            try {
                                return chat("long answer please 1", true, 20);
                            } catch (Exception e) {
                                throw new IllegalStateException(e);
                            }
                        });
        await(() -> get(operatorUri + "/v1/status").body().contains("\"openCalls\":1"));
        postToOperator("/v1/drain", "{}");
        assertThat(get(operatorUri + "/readyz").statusCode()).isEqualTo(503);
        assertThat(openStream.get().body()).endsWith("data: [DONE]\n\n");
        daemon.awaitDrained();
    }

    @Test
    void rulesCreditsAndBillsSurviveARestart() throws Exception {
        startEngine("e", Fault.NONE, 0);
        chat("before the restart", true, 8);
        await(() -> get(operatorUri + "/v1/budgets/season").body().contains("\"reserved\":0"));
        String budgetBefore = get(operatorUri + "/v1/budgets/season").body();
        daemon.close();
        startDaemon();
        assertThat(get(operatorUri + "/v1/budgets/season").body()).isEqualTo(budgetBefore);
        assertThat(get(operatorUri + "/v1/rules").body()).contains("\"version\":1");
        creditBudget(10_000, "c1");
        assertThat(get(operatorUri + "/v1/budgets/season").body()).isEqualTo(budgetBefore);
    }
}
