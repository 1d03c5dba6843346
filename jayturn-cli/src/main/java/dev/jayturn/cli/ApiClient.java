package dev.jayturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** Calls the operators' API of an instance. */
final class ApiClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(15);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
    private final String server;
    private final String token;

    ApiClient(String server, String token) {
        this.server = server;
        this.token = token;
    }

    /** An answer; the body is JSON. */
    record Response(int status, JsonNode body) {
        boolean isOk() {
            return status == 200;
        }
    }

    static String urlEncode(String part) {
        return URLEncoder.encode(part, StandardCharsets.UTF_8);
    }

    Response get(String path) throws IOException, InterruptedException {
        return send(requestBuilder(path).GET().build());
    }

    Response post(String path, JsonNode body) throws IOException, InterruptedException {
        return send(
                requestBuilder(path)
                        .POST(
                                HttpRequest.BodyPublishers.ofByteArray(
                                        MAPPER.writeValueAsBytes(body)))
                        .build());
    }

    private HttpRequest.Builder requestBuilder(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + server + path))
                .timeout(TIMEOUT)
                .header("Content-Type", "application/json")
                .header("Authorization", "Bearer " + token);
    }

    private Response send(HttpRequest request) throws IOException, InterruptedException {
        HttpResponse<byte[]> response =
                client.send(request, HttpResponse.BodyHandlers.ofByteArray());
        return new Response(response.statusCode(), MAPPER.readTree(response.body()));
    }
}
