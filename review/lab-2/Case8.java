import java.io.OutputStream;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A new configuration adds a route of model requests whose kind is not `stream`, so that runners
 * answer them whole. Counts the tokens that the clients of one tenant get, against its `prepaid`.
 */
final class Case8 {
    private static final long PREPAID = 20_000;
    private static final int PROMPT = 100;
    private static final int OUTPUT = 900;
    private static final int TOKENS_PER_EVENT = 5;
    private static final int REQUESTS = 80;

    private Case8() {}

    private static String route(String name, String prefix, String kind) {
        return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"path_prefix\":\"" + prefix + "\","
                + "\"kind\":\"" + kind + "\",\"timeout_ms\":12000,\"goal_ms\":800,\"priority\":1,"
                + "\"service\":\"leaf\",\"max_attempts\":1,\"public\":false,\"sticky\":true,"
                + "\"resumable\":false,\"gap_goal_ms\":300}";
    }

    private static String configuration(int version, String routes) {
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],"
                + "\"services\":[{\"name\":\"leaf\",\"health_path\":\"/health\",\"max_conns\":360,"
                + "\"protocol\":\"h1\",\"tls\":false,"
                + "\"engine\":{\"slots\":64,\"kv_capacity\":540799,\"token_kv_bytes\":18432,"
                + "\"link_mbps\":550000.0,\"moves\":true,\"backups\":true,\"stride\":5,\"most\":12,"
                + "\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"],\"priority\":1,\"prepaid\":" + PREPAID + "}]}";
    }

    /** Generates all the tokens that were asked for, as events if the request asks for events. */
    private static void generate(Runner runner, Runner.Request request, OutputStream out)
            throws IOException {
        int output = Integer.parseInt(request.header("Token-Usage").split(",")[1].trim());
        String requestId = request.header("Request-Id");
        String head = "HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nResponse-Seal: s." + requestId + "\r\n";
        if (!new String(request.body, StandardCharsets.UTF_8).equals("stream")) {
            String text = " tok".repeat(output);
            Runner.write(out, head + "Content-Type: text/plain\r\nContent-Length: " + text.length() + "\r\n\r\n" + text);
            return;
        }
        Runner.write(out, head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = 1; (event - 1) * TOKENS_PER_EVENT < output; event++) {
            int tokens = Math.min(TOKENS_PER_EVENT, output - (event - 1) * TOKENS_PER_EVENT);
            String text = "id: " + event + "\ndata:" + " tok".repeat(tokens) + "\n\n";
            Runner.write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        Runner.write(out, "0\r\n\r\n");
    }

    public static void main(String[] args) throws Exception {
        String kind = "0".equals(System.getenv("TROUBLE")) ? "stream" : "idempotent";
        boolean broken;
        try (PrintWriter record = new PrintWriter(Path.of(args[0], "record.txt").toFile());
                Fleet fleet = new Fleet(3, 2);
                Runner runner = new Runner(fleet, "leaf", "i-1", "mauricie-a", Case8::generate)) {
            fleet.configure(configuration(1, route("a", "/notes/", "stream")));
            fleet.awaitReady();
            Thread.sleep(3_000);
            record.println("version 1: /notes/, a stream; prepaid " + PREPAID);
            fleet.configure(
                    configuration(2, route("a", "/notes/", "stream") + "," + route("b", "/whole/", kind)));
            record.println("version 2 acknowledged: also /whole/, of kind " + kind + ", at the same service");
            Thread.sleep(3_500);
            long consumed = 0;
            int served = 0;
            int refused = 0;
            for (int i = 0; i < REQUESTS; i++) {
                Map<String, String> headers = new LinkedHashMap<>();
                headers.put("Request-Id", "q" + i);
                headers.put("Api-Key", "k");
                headers.put("Model", "m");
                headers.put("Token-Usage", PROMPT + "," + OUTPUT);
                headers.put("Prompt-Prefix", "a" + Integer.toHexString(i) + ":" + PROMPT);
                headers.put("Deadline-Ms", "12000");
                Fleet.Machine entry = fleet.entries.get(i % fleet.entries.size());
                String body = kind.equals("stream") ? "stream" : "whole";
                Fleet.Response response =
                        Fleet.call(entry.ip, fleet.callerPort, "POST", "/whole/a", headers, body);
                int tokens = response.body.split(" tok", -1).length - 1;
                boolean ran = response.status == 200 && !response.header("Response-Seal").isEmpty();
                if (ran) {
                    served++;
                    consumed += PROMPT + tokens;
                } else {
                    refused++;
                }
                record.println("request q" + i + ": " + response.status
                        + (ran ? ", " + tokens + " output tokens delivered"
                                + (response.complete ? ", complete" : ", incomplete") : "")
                        + "; consumed so far " + consumed + " of " + PREPAID);
            }
            record.println("ran: " + runner.requests.size());
            broken = consumed > PREPAID;
            record.println(
                    "served " + served + ", refused " + refused + "; the tenant got " + consumed
                            + " tokens of " + PREPAID + " prepaid: " + (broken ? "BROKEN" : "held"));
            if (runner.requests.isEmpty()) {
                throw new IOException("no request ran");
            }
        }
        System.exit(broken ? 1 : 0);
    }
}
