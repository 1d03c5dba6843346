import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many clients at once send bodies of the largest allowed size to one entry instance, beside clients
 * with short requests. Without the disruption the same long requests come one after the other.
 */
final class LongBodies {
    private static final int BODY_BYTES = 4 << 20;
    private static final int ANSWER_BYTES = 800;
    private static final long WORK_MILLIS = 300;
    private static final int LONG_REQUESTS = 24;
    private static final int SHORT_CLIENTS = 20;
    private static final int REQUESTS_OF_A_CLIENT = 10;
    private static final long TIMEOUT_MILLIS = 2_500;
    private static final long ALLOWANCE_MILLIS = 500;
    private static final int MIN_LATE = 8;
    private static final String CONFIGURATION =
            "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"ficu95.example\","
                    + "\"path_prefix\":\"/post/\",\"kind\":\"non_idempotent\","
                    + "\"timeout_ms\":2500,\"goal_ms\":486,\"priority\":0,\"service\":\"s\","
                    + "\"max_attempts\":1,\"public\":true,\"sticky\":false}],"
                    + "\"services\":[{\"name\":\"s\",\"health_path\":\"/health\","
                    + "\"max_conns\":360,\"protocol\":\"h1\",\"tls\":false}],"
                    + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                    + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[]}";

    private static final AtomicInteger SENT = new AtomicInteger();
    private static final AtomicInteger UNANSWERED = new AtomicInteger();
    private static final AtomicInteger LATE = new AtomicInteger();
    private static Fleet fleet;

    public static void main(String[] args) throws Exception {
        int status = Fleet.CANNOT_RUN;
        try {
            fleet = new Fleet(Path.of(args[0]), 2);
            status = run();
        } catch (Exception e) {
            e.printStackTrace();
        } finally {
            if (fleet != null) {
                fleet.close();
            }
        }
        System.exit(status);
    }

    private static int run() throws Exception {
        ServerSocket server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        start(() -> accept(server));
        fleet.start(CONFIGURATION);
        fleet.heartbeat("i-1", "s", server.getLocalPort(), "mauricie-a", "ready", 1_000, 1);
        Thread.sleep(2_000);
        CountDownLatch done = new CountDownLatch(LONG_REQUESTS + SHORT_CLIENTS);
        start(() -> probeReadiness());
        for (int i = 0; i < SHORT_CLIENTS; i++) {
            int n = i;
            start(
                    () -> {
                        call("short-" + n, 100, REQUESTS_OF_A_CLIENT);
                        done.countDown();
                    });
        }
        Thread.sleep(500);
        for (int i = 0; i < LONG_REQUESTS; i++) {
            int n = i;
            Runnable longRequest =
                    () -> {
                        call("long-" + n, BODY_BYTES, 1);
                        done.countDown();
                    };
            if (Fleet.TROUBLE) {
                start(longRequest);
            } else {
                longRequest.run();
            }
        }
        done.await();
        fleet.record(
                SENT + " requests; " + UNANSWERED + " unanswered at timeout_ms, " + LATE
                        + " of them still without an answer or an end 0.5 s later");
        boolean broken = LATE.get() >= MIN_LATE && 2 * LATE.get() > UNANSWERED.get();
        return broken ? Fleet.RULE_BROKEN : Fleet.RULE_HELD;
    }

    /** Records what the balancer would see, once a second. */
    private static void probeReadiness() {
        while (true) {
            int status = Fleet.call(fleet.entries.get(0).ready(), "GET /api/readiness", "", 1_000);
            fleet.record("balancer: readiness " + (status == 0 ? "not answered in 1 s" : status));
            try {
                Thread.sleep(1_000);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Sends requests one after the other on one connection, as long as it stays open. */
    private static void call(String client, int bytes, int count) {
        byte[] body = new byte[bytes];
        Arrays.fill(body, (byte) 'x');
        try (Socket socket = new Socket()) {
            socket.connect(fleet.entries.get(0).callers(), 1_000);
            socket.setSoTimeout(20_000);
            for (int k = 0; k < count; k++) {
                String id = client + "-" + k;
                String head =
                        "POST /post/1 HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: " + id
                                + "\r\nDeadline-Ms: " + TIMEOUT_MILLIS + "\r\nContent-Length: "
                                + bytes + "\r\n\r\n";
                long sent = System.nanoTime();
                SENT.incrementAndGet();
                String outcome;
                try {
                    OutputStream out = socket.getOutputStream();
                    out.write(head.getBytes(StandardCharsets.ISO_8859_1));
                    out.write(body);
                    out.flush();
                    Fleet.Http response = Fleet.Http.read(socket.getInputStream());
                    outcome = response.status == 0 ? "closed" : "status " + response.status;
                } catch (java.io.IOException e) {
                    outcome = "closed: " + e.getMessage();
                }
                long millis = (System.nanoTime() - sent) / 1_000_000;
                UNANSWERED.addAndGet(millis > TIMEOUT_MILLIS ? 1 : 0);
                LATE.addAndGet(millis > TIMEOUT_MILLIS + ALLOWANCE_MILLIS ? 1 : 0);
                fleet.record("client: " + id + " " + outcome + " after " + millis + " ms");
                if (outcome.startsWith("closed")) {
                    return;
                }
            }
        } catch (java.io.IOException e) {
            fleet.record("client: " + client + " " + e);
        }
    }

    private static void accept(ServerSocket server) {
        while (true) {
            try {
                Socket socket = server.accept();
                start(() -> serve(socket));
            } catch (java.io.IOException e) {
                return;
            }
        }
    }

    private static void serve(Socket socket) {
        try (socket) {
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            while (true) {
                String id = "";
                int length = 0;
                String line = Fleet.Http.line(in);
                if (line.isEmpty()) {
                    return;
                }
                while (!line.isEmpty()) {
                    String lower = line.toLowerCase(Locale.ROOT);
                    if (lower.startsWith("request-id:")) {
                        id = line.substring("request-id:".length()).trim();
                    }
                    if (lower.startsWith("content-length:")) {
                        length = Integer.parseInt(line.substring("content-length:".length()).trim());
                    }
                    line = Fleet.Http.line(in);
                }
                in.readNBytes(length);
                fleet.record("runner: runs " + id);
                Thread.sleep(WORK_MILLIS);
                byte[] answer = new byte[ANSWER_BYTES];
                Arrays.fill(answer, (byte) 'a');
                OutputStream out = socket.getOutputStream();
                out.write(
                        ("HTTP/1.1 200 OK\r\nRequest-Id: " + id
                                        + "\r\nResponse-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: "
                                        + ANSWER_BYTES + "\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
                out.write(answer);
                out.flush();
            }
        } catch (java.io.IOException | InterruptedException e) {
            fleet.record("runner: " + e);
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }
}
