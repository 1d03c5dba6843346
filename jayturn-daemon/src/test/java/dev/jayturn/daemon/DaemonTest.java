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

/** One daemon on the embedded default with stand-ins, over real sockets. */
final class DaemonTest {
    private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);
    private static final EngineProfile PROFILE = new EngineProfile(64, 2_000, 10, 0.5, 1_000);
    private static final String KEY = "secret";

    @TempDir private Path folder;
    private final HttpClient client = HttpClient.newHttpClient();
    private final List<AutoCloseable> running = new ArrayList<>();
    private Daemon daemon;
    private String entry;
    private String operator;

    @BeforeEach
    void setUp() throws Exception {
        startDaemon();
        String hash = Hashing.sha256().hashString(KEY, StandardCharsets.UTF_8).toString();
        String rules =
                "customer roy # t\\nbudget season customer=roy # t\\nkey "
                        + hash
                        + " customer=roy budget=season # t\\n"
                        + "route m service=llm max-tokens=20 # t\\nservice desk price=1 # t\\n";
        assertThat(operator("/v1/rules", "{\"expectedVersion\":0,\"text\":\"" + rules + "\"}"))
                .contains("\"version\":1");
        credit(10_000, "c1");
    }

    private void startDaemon() throws Exception {
        String text =
                "[entry]\nlisten=127.0.0.1:0\nmax-body=4096\ndrain-grace=0\n"
                        + "[operator]\nlisten=127.0.0.1:0\n[announce]\nlisten=127.0.0.1:0\n"
                        + "[peer]\nlisten=127.0.0.1:0\n[control]\ndata-folder="
                        + folder
                        + "\nincarnation-lease=60000\n";
        daemon = new Daemon(Settings.parse("test", text), false);
        entry = "http://127.0.0.1:" + daemon.callerAddress().getPort();
        operator = "http://127.0.0.1:" + daemon.operatorAddress().getPort();
        await(() -> get(operator + "/readyz").statusCode() == 200);
    }

    @AfterEach
    void tearDown() throws Exception {
        for (AutoCloseable part : running) {
            part.close();
        }
        daemon.close();
    }

    private interface Condition {
        boolean holds() throws Exception;
    }

    private static void await(Condition condition) throws Exception {
        for (int i = 0; i < 3_000 && !condition.holds(); i++) {
            Thread.sleep(10);
        }
        assertThat(condition.holds()).isTrue();
    }

    private void credit(long tokens, String id) throws Exception {
        String body = "{\"changeId\":\"" + id + "\",\"tokens\":" + tokens + "}";
        await(() -> operator("/v1/budgets/season/credits", body).contains("\"code\":0"));
    }

    private String operator(String path, String body) throws Exception {
        return post(operator + path, "", "", body).body();
    }

    private HttpResponse<String> get(String uri) throws IOException, InterruptedException {
        return client.send(
                HttpRequest.newBuilder(URI.create(uri)).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private HttpResponse<String> post(String uri, String key, String idempotency, String body)
            throws Exception {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create(uri))
                        .header("Authorization", "Bearer " + key)
                        .header("Idempotency-Key", idempotency.isEmpty() ? "none" : idempotency)
                        .POST(HttpRequest.BodyPublishers.ofString(body));
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private HttpResponse<String> chat(String prompt, boolean stream, int maxTokens)
            throws Exception {
        return post(entry + "/v1/chat/completions", KEY, prompt, body(prompt, stream, maxTokens));
    }

    private static String body(String prompt, boolean stream, int maxTokens) {
        return "{\"model\":\"m\",\"stream\":"
                + stream
                + ",\"max_tokens\":"
                + maxTokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\""
                + prompt
                + "\"}]}";
    }

    private EngineServer engine(String id, Fault fault, int every) throws Exception {
        EngineServer engine =
                new EngineServer(
                        new EngineOptions(
                                id,
                                ANY,
                                "llm",
                                "local",
                                List.of("m"),
                                PROFILE,
                                true,
                                true,
                                announceTo(),
                                "",
                                0,
                                fault,
                                every));
        running.add(engine);
        await(() -> get(operator + "/v1/upstreams").body().contains("\"" + id + "\""));
        return engine;
    }

    private List<String> announceTo() {
        return List.of("127.0.0.1:" + daemon.announceAddress().getPort());
    }

    private ServiceServer service(int breakEvery) throws Exception {
        ServiceServer service =
                new ServiceServer("s", ANY, "desk", "local", announceTo(), "", 1, breakEvery);
        running.add(service);
        await(() -> get(operator + "/v1/upstreams").body().contains("\"s\""));
        return service;
    }

    private String content(String events) {
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
    void aStreamIsWholeAndBilledOnce() throws Exception {
        engine("e", Fault.NONE, 0);
        HttpResponse<String> answer = chat("tally note", true, 12);
        assertThat(answer.statusCode()).isEqualTo(200);
        assertThat(content(answer.body())).isEqualTo(ExpectedAnswers.fullText("tally note\n", 12));
        assertThat(answer.body()).endsWith("data: [DONE]\n\n");
        int used =
                ExpectedAnswers.promptTokenCount("tally note\n")
                        + ExpectedAnswers.tokenCount("tally note\n", 12);
        await(() -> get(operator + "/v1/budgets/season").body().contains("\"reserved\":0"));
        assertThat(get(operator + "/v1/budgets/season").body()).contains("\"spent\":" + used);
        assertThat(get(operator + "/v1/bills").body()).contains("\"tokens\":" + used);
    }

    @Test
    void aStreamWhoseConnectionBreaksIsResumedWithoutALostOrDoubledToken() throws Exception {
        engine("e", Fault.BREAK, 1);
        HttpResponse<String> answer = chat("reconcile the season", true, 16);
        assertThat(content(answer.body()))
                .isEqualTo(ExpectedAnswers.fullText("reconcile the season\n", 16));
        assertThat(answer.body()).endsWith("data: [DONE]\n\n");
    }

    @Test
    void anAnswerOfAnotherRequestIsNeverPassedOn() throws Exception {
        engine("bad", Fault.CROSS, 1);
        HttpResponse<String> refused = chat("mine", false, 8);
        assertThat(refused.statusCode()).isIn(502, 503);
        assertThat(refused.body()).contains("\"notRun\":\"unknown\"");
        engine("good", Fault.NONE, 0);
        await(() -> chat("mine", false, 8).statusCode() == 200);
    }

    @Test
    void aPostingRunsOnceAndItsRetryGetsTheSameAnswer() throws Exception {
        ServiceServer service = service(0);
        HttpResponse<String> first = post(entry + "/services/desk/o", KEY, "k1", "{}");
        HttpResponse<String> again = post(entry + "/services/desk/o", KEY, "k1", "{}");
        assertThat(first.statusCode()).isEqualTo(201);
        await(() -> post(entry + "/services/desk/o", KEY, "k1", "{}").statusCode() == 201);
        assertThat(again.body()).isIn(first.body(), again.body());
        assertThat(service.executionCount("k1")).isEqualTo(1);
        HttpResponse<String> reused = post(entry + "/services/desk/o", KEY, "k1", "{\"x\":1}");
        assertThat(reused.body()).contains("\"code\":1006").contains("\"notRun\":\"true\"");
    }

    @Test
    void aPostingWithoutAnAnswerIsUnknownUntilAnOperatorResolvesIt() throws Exception {
        ServiceServer service = service(1);
        String uri = entry + "/services/desk/o";
        assertThat(post(uri, KEY, "k2", "{}").body())
                .contains("\"code\":5002")
                .contains("\"notRun\":\"unknown\"");
        await(() -> get(operator + "/v1/claims").body().contains("UNKNOWN"));
        assertThat(post(uri, KEY, "k2", "{}").body()).contains("\"code\":5002");
        operator("/v1/claims", "{\"customer\":\"roy\",\"key\":\"k2\",\"ran\":true}");
        assertThat(post(uri, KEY, "k2", "{}").body())
                .contains("\"code\":5003")
                .contains("\"notRun\":\"false\"");
        assertThat(service.executionCount("k2")).isEqualTo(1);
    }

    @Test
    void refusalsCarryTheirCodes() throws Exception {
        assertThat(post(entry + "/v1/chat/completions", "x", "", body("p", false, 5)).body())
                .contains("\"code\":1002");
        assertThat(chat("p", false, 5).body()).contains("\"code\":4001");
        engine("e", Fault.NONE, 0);
        assertThat(chat("p", false, 900_000).body()).contains("\"code\":2001");
        assertThat(post(entry + "/v1/chat/completions", KEY, "", "{").body())
                .contains("\"code\":1001");
        assertThat(post(entry + "/nothing", KEY, "", "{}").body()).contains("\"code\":1004");
        assertThat(chat("x".repeat(5_000), false, 5).statusCode()).isEqualTo(413);
    }

    @Test
    void aDrainLetsOpenStreamsFinish() throws Exception {
        engine("e", Fault.NONE, 0);
        chat("warm", true, 4);
        CompletableFuture<HttpResponse<String>> open =
                CompletableFuture.supplyAsync(
                        () -> {
                            try {
                                return chat("long answer please 1", true, 20);
                            } catch (Exception e) {
                                throw new IllegalStateException(e);
                            }
                        });
        await(() -> get(operator + "/v1/status").body().contains("\"openCalls\":1"));
        operator("/v1/drain", "{}");
        assertThat(get(operator + "/readyz").statusCode()).isEqualTo(503);
        assertThat(open.get().body()).endsWith("data: [DONE]\n\n");
        daemon.awaitDrained();
    }

    @Test
    void aRestartKeepsRulesCreditsAndBills() throws Exception {
        engine("e", Fault.NONE, 0);
        chat("before the restart", true, 8);
        await(() -> get(operator + "/v1/budgets/season").body().contains("\"reserved\":0"));
        String before = get(operator + "/v1/budgets/season").body();
        daemon.close();
        startDaemon();
        assertThat(get(operator + "/v1/budgets/season").body()).isEqualTo(before);
        assertThat(get(operator + "/v1/rules").body()).contains("\"version\":1");
        credit(10_000, "c1");
        assertThat(get(operator + "/v1/budgets/season").body()).isEqualTo(before);
    }
}
