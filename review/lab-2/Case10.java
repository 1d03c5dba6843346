import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A runner is emptied: it reports `draining`, and the report is acked. Its pings are numbered by the
 * microseconds since its start, or by ones with TROUBLE=0. Looks for requests that reach it later
 * than `drain_ms` after the ack.
 */
final class Case10 {
    private static final long DRAIN_MILLIS = 3_000;
    private static final long BEFORE_MILLIS = 6_000;
    private static final long AFTER_MILLIS = 8_000;
    private static final long INTERVAL_MILLIS = 40;

    private static final List<String> LATE = new CopyOnWriteArrayList<>();
    private static volatile long ackedNanos;

    private Case10() {}

    private static String configuration() {
        return "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\",\"path_prefix\":\"/credit/\","
                + "\"kind\":\"non_idempotent\",\"timeout_ms\":1200,\"goal_ms\":400,\"priority\":2,"
                + "\"service\":\"app\",\"max_attempts\":1,\"public\":false}],"
                + "\"services\":[{\"name\":\"app\",\"health_path\":\"/health\",\"max_conns\":96,"
                + "\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"],\"priority\":1}]}";
    }

    private static void answer(Runner runner, Runner.Request request, OutputStream out)
            throws IOException, InterruptedException {
        long acked = ackedNanos;
        String requestId = request.header("Request-Id");
        if (acked != 0 && runner.id.equals("i-1")) {
            long millis = (System.nanoTime() - acked) / 1_000_000;
            if (millis > DRAIN_MILLIS) {
                LATE.add(requestId + " reached i-1 " + millis + " ms after the ack");
            }
        }
        Thread.sleep(20);
        Runner.write(
                out,
                "HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nResponse-Seal: s." + requestId
                        + "\r\nContent-Length: 4\r\n\r\ndone");
    }

    private static int send(Fleet fleet, int number, long untilMillis, PrintWriter record)
            throws InterruptedException {
        int next = number;
        while (System.currentTimeMillis() < untilMillis) {
            Fleet.Machine entry = fleet.entries.get(next % fleet.entries.size());
            Fleet.Response response =
                    Fleet.call(
                            entry.ip,
                            fleet.callerPort,
                            "POST",
                            "/credit/a",
                            Map.of("Request-Id", "q" + next, "Api-Key", "k", "Deadline-Ms", "2500"),
                            "slip");
            if (response.status != 200) {
                record.println("request q" + next + ": " + response.status);
            }
            next++;
            Thread.sleep(INTERVAL_MILLIS);
        }
        return next;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        boolean broken;
        try (PrintWriter record = new PrintWriter(Path.of(args[0], "record.txt").toFile());
                Fleet fleet = new Fleet(3, 2)) {
            fleet.configure(configuration());
            fleet.awaitReady();
            // All machines have been in touch for contact_ms before anything is judged.
            Thread.sleep(4_500);
            try (Runner leaving = new Runner(fleet, "app", "i-1", "mauricie-a", Case10::answer, trouble)) {
                Thread.sleep(1_000);
                record.println("runner i-1 registered; it numbers its pings by "
                        + (trouble ? "microseconds since its start" : "ones"));
                int number = send(fleet, 0, System.currentTimeMillis() + BEFORE_MILLIS, record);
                record.println("before: " + leaving.requests.size() + " requests ran at i-1");
                if (leaving.requests.isEmpty()) {
                    throw new IOException("no request reached i-1");
                }
                Runner staying = new Runner(fleet, "app", "i-2", "mauricie-a", Case10::answer);
                Thread.sleep(2_000);
                record.println("runner i-2 registered");
                int before = leaving.requests.size();
                boolean acked = leaving.drain();
                ackedNanos = System.nanoTime();
                record.println("i-1 reported draining; " + (acked ? "acked with 200" : "no ack"));
                if (!acked) {
                    throw new IOException("the report was not acked");
                }
                send(fleet, number, System.currentTimeMillis() + AFTER_MILLIS, record);
                record.println("after: " + (leaving.requests.size() - before) + " requests ran at i-1 and "
                        + staying.requests.size() + " at i-2 in " + AFTER_MILLIS + " ms");
                staying.close();
                new ArrayList<>(LATE).forEach(record::println);
            }
            broken = !LATE.isEmpty();
            record.println(LATE.size() + " requests reached the draining runner later than " + DRAIN_MILLIS
                    + " ms after the ack: " + (broken ? "BROKEN" : "held"));
        }
        System.exit(broken ? 1 : 0);
    }
}
