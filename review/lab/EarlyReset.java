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

/**
 * A runner answers a long request before it has read all of it, without a length, and its
 * connection is reset after a part of the answer.
 */
final class EarlyReset {
    private static final int REQUEST_BYTES = 4 << 20;
    private static final int ANSWER_BYTES = 800;
    private static final int FIRST_PART_BYTES = 300;
    private static final int REQUESTS = 5;
    private static final String CONFIGURATION =
            "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"ficu95.example\","
                    + "\"path_prefix\":\"/post/\",\"kind\":\"non_idempotent\","
                    + "\"timeout_ms\":5000,\"goal_ms\":486,\"priority\":0,\"service\":\"s\","
                    + "\"max_attempts\":1,\"public\":true,\"sticky\":false}],"
                    + "\"services\":[{\"name\":\"s\",\"health_path\":\"/health\","
                    + "\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false}],"
                    + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                    + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[]}";

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
        ServerSocket server = new ServerSocket();
        // The runner reads nothing ahead, as one with a small window.
        server.setReceiveBufferSize(16 * 1024);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
        start(() -> accept(server));
        fleet.start(CONFIGURATION);
        fleet.heartbeat("i-1", "s", server.getLocalPort(), "mauricie-a", "ready", 1_000, 1);
        Thread.sleep(1_500);
        int broken = 0;
        int answered = 0;
        for (int i = 0; i < REQUESTS; i++) {
            Fleet.Http response = post(fleet.entries.get(i % 2), "request-" + i);
            boolean success = response.status / 100 == 2 && response.complete;
            boolean whole = response.body.size() == ANSWER_BYTES;
            fleet.record(
                    "client: request-" + i + " got status " + response.status + ", complete "
                            + response.complete + ", seal "
                            + response.headers.get("response-seal") + ", bytes "
                            + response.body.size() + " of " + ANSWER_BYTES);
            answered += response.status != 0 ? 1 : 0;
            broken += success && !whole ? 1 : 0;
            if (!Fleet.TROUBLE && !(success && whole)) {
                fleet.record("the request did not succeed without the disruption");
                return Fleet.CANNOT_RUN;
            }
        }
        fleet.record(broken + " of " + REQUESTS + " answers looked complete and were not");
        if (answered == 0) {
            return Fleet.CANNOT_RUN;
        }
        return broken > 0 ? Fleet.RULE_BROKEN : Fleet.RULE_HELD;
    }

    private static Fleet.Http post(Fleet.Node entry, String id) throws Exception {
        try (Socket socket = new Socket()) {
            socket.connect(entry.callers(), 1_000);
            socket.setSoTimeout(8_000);
            byte[] body = new byte[REQUEST_BYTES];
            Arrays.fill(body, (byte) 'x');
            String head =
                    "POST /post/1 HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: " + id
                            + "\r\nDeadline-Ms: 5000\r\nContent-Length: " + body.length
                            + "\r\n\r\n";
            OutputStream out = socket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            fleet.record("client: sent " + id + " with " + body.length + " bytes to " + entry.ip);
            return Fleet.Http.read(socket.getInputStream());
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
            InputStream in = socket.getInputStream();
            String id = "";
            String line = Fleet.Http.line(in);
            if (line.isEmpty()) {
                return;
            }
            while (!line.isEmpty()) {
                if (line.toLowerCase(Locale.ROOT).startsWith("request-id:")) {
                    id = line.substring("request-id:".length()).trim();
                }
                line = Fleet.Http.line(in);
            }
            byte[] answer = new byte[ANSWER_BYTES];
            Arrays.fill(answer, (byte) 'a');
            OutputStream out = socket.getOutputStream();
            String head =
                    "HTTP/1.1 200 OK\r\nRequest-Id: " + id
                            + "\r\nResponse-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\r\n";
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            out.write(answer, 0, FIRST_PART_BYTES);
            out.flush();
            fleet.record("runner: ran " + id + ", sent " + FIRST_PART_BYTES + " bytes");
            Thread.sleep(300);
            if (Fleet.TROUBLE) {
                socket.setSoLinger(true, 0);
                fleet.record("runner: connection of " + id + " is reset");
                return;
            }
            out.write(answer, FIRST_PART_BYTES, ANSWER_BYTES - FIRST_PART_BYTES);
            out.flush();
            in.readNBytes(REQUEST_BYTES);
            fleet.record("runner: sent the rest of " + id + ", read all of it and closes");
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
