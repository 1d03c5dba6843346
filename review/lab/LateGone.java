import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some runners of a service leave with a DELETE at one control instance, shortly after a heartbeat at
 * another one. Then an entry instance is killed and starts again.
 */
final class LateGone {
    private static final int RUNNERS = 8;
    private static final int LEAVING = 4;
    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final long LEAVE_GAP_MILLIS = 1_000;
    private static final long HEARTBEAT_TO_LEAVE_MILLIS = 60;
    private static final long DRAIN_MILLIS = 3_000;
    private static final long CONTACT_MILLIS = 4_000;
    private static final long MARGIN_MILLIS = 500;
    private static final long EXIT_AFTER_MILLIS = 1_500;
    private static final int REQUESTS = 240;
    private static final long WORK_MILLIS = 85;
    private static final String CONFIGURATION =
            "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"ficu95.example\","
                    + "\"path_prefix\":\"/post/\",\"kind\":\"non_idempotent\","
                    + "\"timeout_ms\":2500,\"goal_ms\":486,\"priority\":0,\"service\":\"s\","
                    + "\"max_attempts\":1,\"public\":true,\"sticky\":false}],"
                    + "\"services\":[{\"name\":\"s\",\"health_path\":\"/health\","
                    + "\"max_conns\":96,\"protocol\":\"h1\",\"tls\":false}],"
                    + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                    + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[]}";

    private static final AtomicInteger LATE = new AtomicInteger();
    private static final Set<String> LOST = ConcurrentHashMap.newKeySet();
    private static Fleet fleet;

    /** Time from which requests of the entry instance count, as it is in touch. */
    private static volatile long inTouchNanos = Long.MAX_VALUE;

    /** A runner: serves, and sends heartbeats to one control instance after the other. */
    private static final class Runner {
        final int number;
        final String id;
        final ServerSocket server;
        final long born = System.currentTimeMillis();
        int nextControl;
        int sequence;
        volatile boolean leaving;
        final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        final Set<String> running = ConcurrentHashMap.newKeySet();
        volatile long goneNanos;

        Runner(int number) throws IOException {
            this.number = number;
            this.id = "i-" + (1000 + number);
            this.nextControl = number % 3;
            this.server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
            background(this::accept);
        }

        /** Sends one heartbeat, to the next control instance if one does not acknowledge it. */
        synchronized Fleet.Node heartbeat() {
            while (true) {
                Fleet.Node control = fleet.controls.get(nextControl);
                nextControl = (nextControl + 1) % 3;
                sequence++;
                String body =
                        "{\"service\":\"s\",\"address\":\"127.0.0.1:" + server.getLocalPort()
                                + "\",\"zone\":\"mauricie-a\",\"version\":\"v1\",\"slots\":6,"
                                + "\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":"
                                + sequence + ",\"born\":" + born + "}";
                if (Fleet.call(control.api(), "PUT /api/instances/" + id, body, 1_000) == 200) {
                    return control;
                }
            }
        }

        void beat() {
            while (!leaving) {
                heartbeat();
                sleep(HEARTBEAT_MILLIS);
            }
        }

        /** Sends a heartbeat as usual, and shortly after it a departure to the next instance. */
        void leave() {
            leaving = true;
            Fleet.Node last;
            synchronized (this) {
                last = heartbeat();
            }
            fleet.record("runner " + id + ": heartbeat " + sequence + " at " + last.ip);
            sleep(HEARTBEAT_TO_LEAVE_MILLIS);
            Fleet.Node control = fleet.controls.get(nextControl);
            sequence++;
            String body = "{\"sequence\":" + sequence + ",\"born\":" + born + "}";
            int status = Fleet.call(control.api(), "DELETE /api/instances/" + id, body, 1_000);
            if (status == 200) {
                goneNanos = System.nanoTime();
            }
            fleet.record("runner " + id + ": departure at " + control.ip + " got " + status);
        }

        /** Ends, as a runner does some time after its departure was acknowledged. */
        void exit() {
            fleet.record("runner " + id + ": exits, at work on " + running);
            LOST.addAll(running);
            try {
                server.close();
                for (Socket socket : sockets) {
                    socket.close();
                }
            } catch (IOException e) {
                fleet.record("runner " + id + ": " + e);
            }
        }

        private void accept() {
            while (true) {
                try {
                    Socket socket = server.accept();
                    background(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            sockets.add(socket);
            try (socket) {
                InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
                String line = Fleet.Http.line(in);
                while (!line.isEmpty()) {
                    String request = "";
                    String target = "";
                    while (!line.isEmpty()) {
                        String lower = line.toLowerCase(Locale.ROOT);
                        if (lower.startsWith("request-id:")) {
                            request = line.substring("request-id:".length()).trim();
                        } else if (lower.startsWith("target-instance:")) {
                            target = line.substring("target-instance:".length()).trim();
                        }
                        line = Fleet.Http.line(in);
                    }
                    respond(socket.getOutputStream(), request, target);
                    line = Fleet.Http.line(in);
                }
            } catch (IOException e) {
                // The entry instance has closed the connection.
            }
        }

        private void respond(OutputStream out, String request, String target) throws IOException {
            long now = System.nanoTime();
            boolean mine = target.isEmpty() || target.equals(id);
            long goneMillis = goneNanos == 0 ? -1 : (now - goneNanos) / 1_000_000;
            if (goneMillis >= 0) {
                boolean counts = mine && now > inTouchNanos && goneMillis > DRAIN_MILLIS;
                LATE.addAndGet(counts ? 1 : 0);
                fleet.record(
                        "runner " + id + ": got " + request + " " + goneMillis
                                + " ms after its departure was acknowledged"
                                + (counts ? ", too late" : ""));
            }
            running.add(request);
            sleep(WORK_MILLIS);
            running.remove(request);
            String text = mine ? "whole answer" : "";
            String head =
                    (mine
                                    ? "HTTP/1.1 200 OK\r\nResponse-Seal: 3e1b.07.5a2.600.0.c9f2a4d1"
                                    : "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1")
                            + "\r\nRequest-Id: " + request + "\r\nContent-Length: " + text.length()
                            + "\r\n\r\n";
            out.write((head + text).getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }

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
        List<Runner> runners = new ArrayList<>();
        for (int i = 0; i < RUNNERS; i++) {
            Runner runner = new Runner(i);
            runners.add(runner);
            background(runner::beat);
            Thread.sleep(130);
        }
        Thread.sleep(CONTACT_MILLIS + 1_000);
        Fleet.Node entry = fleet.entries.get(0);
        for (int i = 0; i < LEAVING; i++) {
            runners.get(i).leave();
            Thread.sleep(LEAVE_GAP_MILLIS);
        }
        if (Fleet.TROUBLE) {
            entry.kill();
            entry.start(false);
        }
        long end = System.nanoTime() + 20_000_000_000L;
        while (Fleet.call(entry.ready(), "GET /api/readiness", "", 500) != 200) {
            if (System.nanoTime() > end) {
                return Fleet.CANNOT_RUN;
            }
            Thread.sleep(50);
        }
        fleet.record("entry " + entry.ip + " is ready");
        Thread.sleep(CONTACT_MILLIS + MARGIN_MILLIS);
        inTouchNanos = System.nanoTime();
        background(
                () -> {
                    sleep(EXIT_AFTER_MILLIS);
                    runners.subList(0, LEAVING).forEach(Runner::exit);
                });
        int answered = sendRequests(entry);
        fleet.record(
                answered + " of " + REQUESTS + " requests succeeded, " + LOST.size()
                        + " were at work at a departed runner when it ended; " + LATE
                        + " reached a runner later than drain_ms after its departure was acknowledged");
        if (answered == 0) {
            return Fleet.CANNOT_RUN;
        }
        return LATE.get() > 0 ? Fleet.RULE_BROKEN : Fleet.RULE_HELD;
    }

    private static int sendRequests(Fleet.Node entry) throws Exception {
        AtomicInteger answered = new AtomicInteger();
        int clients = 12;
        CountDownLatch done = new CountDownLatch(clients);
        for (int c = 0; c < clients; c++) {
            int client = c;
            background(
                    () -> {
                        for (int k = 0; k < REQUESTS / clients; k++) {
                            answered.addAndGet(request(entry, client + "-" + k) == 200 ? 1 : 0);
                        }
                        done.countDown();
                    });
        }
        done.await();
        return answered.get();
    }

    private static int request(Fleet.Node entry, String id) {
        try (Socket socket = new Socket()) {
            socket.connect(entry.callers(), 1_000);
            socket.setSoTimeout(4_000);
            String head =
                    "GET /post/1 HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: request-" + id
                            + "\r\nDeadline-Ms: 2500\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            Fleet.Http response = Fleet.Http.read(socket.getInputStream());
            fleet.record("client: request-" + id + " got " + response.status);
            return response.status;
        } catch (IOException e) {
            fleet.record("client: request-" + id + " " + e);
            return 0;
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
