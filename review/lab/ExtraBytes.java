import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some runners send additional bytes after a small part of their complete answers, late: a response
 * without a request id, which belongs to no request.
 */
final class ExtraBytes {
    private static final int RUNNERS = 3;
    private static final int FAULTY_RUNNERS = 2;
    private static final int CLIENTS = 12;
    private static final long WORK_MILLIS = 86;
    private static final long LOAD_MILLIS = 9_000;
    private static final long TROUBLE_MILLIS = 5_000;
    /** One answer in this many gets additional bytes, 3 in 100. */
    private static final int ANSWERS_PER_EXTRA = 33;
    private static final long EXTRA_DELAY_MILLIS = 60;
    private static final String EXTRA =
            "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String CONFIGURATION =
            "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"ficu95.example\","
                    + "\"path_prefix\":\"/post/\",\"kind\":\"non_idempotent\","
                    + "\"timeout_ms\":2500,\"goal_ms\":486,\"priority\":0,\"service\":\"s\","
                    + "\"max_attempts\":2,\"public\":true,\"sticky\":false}],"
                    + "\"services\":[{\"name\":\"s\",\"health_path\":\"/health\","
                    + "\"max_conns\":96,\"protocol\":\"h1\",\"tls\":false}],"
                    + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                    + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[]}";

    private static final Map<String, AtomicInteger> RUNS = new ConcurrentHashMap<>();
    private static final Map<String, Integer> STATUS = new ConcurrentHashMap<>();
    private static Fleet fleet;
    private static volatile long troubleEndNanos;

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
        fleet.start(CONFIGURATION);
        for (int i = 0; i < RUNNERS; i++) {
            ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
            boolean faulty = Fleet.TROUBLE && i < FAULTY_RUNNERS;
            String id = "i-" + (1000 + i);
            AtomicInteger answers = new AtomicInteger();
            background(() -> accept(server, id, faulty, answers));
            fleet.heartbeat(id, "s", server.getLocalPort(), "mauricie-a", "ready", 1_000, 1);
        }
        Thread.sleep(1_500);
        long start = System.nanoTime();
        troubleEndNanos = start + TROUBLE_MILLIS * 1_000_000;
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int c = 0; c < CLIENTS; c++) {
            int client = c;
            background(
                    () -> {
                        call(client, start + LOAD_MILLIS * 1_000_000);
                        done.countDown();
                    });
        }
        done.await();
        int twice = 0;
        int refused = 0;
        for (Map.Entry<String, AtomicInteger> runs : RUNS.entrySet()) {
            int status = STATUS.getOrDefault(runs.getKey(), 0);
            twice += runs.getValue().get() > 1 ? 1 : 0;
            refused += status == 429 || status == 503 ? 1 : 0;
            if (runs.getValue().get() > 1 || status == 429 || status == 503) {
                fleet.record(
                        runs.getKey() + " ran " + runs.getValue() + " times and was answered "
                                + status);
            }
        }
        fleet.record(
                STATUS.size() + " postings; " + twice + " ran more than once, " + refused
                        + " ran and were answered 429 or 503");
        if (STATUS.isEmpty()) {
            return Fleet.CANNOT_RUN;
        }
        return twice > 0 ? Fleet.RULE_BROKEN : Fleet.RULE_HELD;
    }

    /** Posts one request after the other on a kept connection. */
    private static void call(int client, long endNanos) {
        int k = 0;
        while (System.nanoTime() < endNanos) {
            try (Socket socket = new Socket()) {
                socket.connect(fleet.entries.get(client % 2).callers(), 1_000);
                socket.setSoTimeout(4_000);
                while (System.nanoTime() < endNanos) {
                    String id = "request-" + client + "-" + k++;
                    String head =
                            "POST /post/1 HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: " + id
                                    + "\r\nDeadline-Ms: 2500\r\nContent-Length: 2\r\n\r\nok";
                    socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
                    Fleet.Http response = Fleet.Http.read(socket.getInputStream());
                    STATUS.put(id, response.status);
                    fleet.record("client: " + id + " got " + response.status);
                    if (response.status == 0) {
                        break;
                    }
                }
            } catch (IOException e) {
                fleet.record("client " + client + ": " + e);
            }
        }
    }

    private static void accept(
            ServerSocket server, String id, boolean faulty, AtomicInteger answers) {
        while (true) {
            try {
                Socket socket = server.accept();
                background(() -> serve(socket, id, faulty, answers));
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void serve(Socket socket, String id, boolean faulty, AtomicInteger answers) {
        try (socket) {
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            String line = Fleet.Http.line(in);
            while (!line.isEmpty()) {
                String request = "";
                while (!line.isEmpty()) {
                    if (line.toLowerCase(Locale.ROOT).startsWith("request-id:")) {
                        request = line.substring("request-id:".length()).trim();
                    }
                    line = Fleet.Http.line(in);
                }
                in.readNBytes(2);
                RUNS.computeIfAbsent(request, r -> new AtomicInteger()).incrementAndGet();
                fleet.record("runner " + id + ": runs " + request);
                sleep(WORK_MILLIS);
                write(
                        socket,
                        "HTTP/1.1 200 OK\r\nRequest-Id: " + request
                                + "\r\nResponse-Seal: 3e1b.07.5a2.600.0.c9f2a4d1"
                                + "\r\nContent-Length: 12\r\n\r\nwhole answer");
                if (faulty
                        && System.nanoTime() < troubleEndNanos
                        && answers.incrementAndGet() % ANSWERS_PER_EXTRA == 0) {
                    String answered = request;
                    background(() -> sendExtra(socket, id, answered));
                }
                line = Fleet.Http.line(in);
            }
        } catch (IOException e) {
            // The entry instance has closed the connection.
        }
    }

    private static void sendExtra(Socket socket, String id, String request) {
        sleep(EXTRA_DELAY_MILLIS);
        try {
            fleet.record("runner " + id + ": additional bytes after its answer to " + request);
            write(socket, EXTRA);
        } catch (IOException e) {
            fleet.record("runner " + id + ": " + e);
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        synchronized (socket) {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void background(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }
}
