import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A sound runner: registers, sends pings, and runs each request with a handler. */
final class Runner implements Closeable {
    private static final long PING_INTERVAL_MILLIS = 1_200;

    final String id;
    final String service;
    final List<Request> requests = new CopyOnWriteArrayList<>();
    private final Fleet fleet;
    private final String zone;
    private final ServerSocket server;
    private final Handler handler;
    private final long born = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();
    private volatile boolean closed;
    private volatile String state = "ready";
    private long count;

    /** Whether its pings are numbered by the microseconds since its start, and not by ones. */
    private final boolean numbersByTime;

    /** A request as the runner has read it. */
    static final class Request {
        final String line;
        final String head;
        final byte[] body;

        Request(String head, byte[] body) {
            this.line = head.substring(0, head.indexOf('\r'));
            this.head = head;
            this.body = body;
        }

        String header(String name) {
            Matcher line =
                    Pattern.compile("(?im)^" + Pattern.quote(name) + ": *(.*?) *\\r?$").matcher(head);
            return line.find() ? line.group(1) : "";
        }
    }

    /** Runs a request and writes its response. */
    interface Handler {
        void run(Runner runner, Request request, OutputStream out)
                throws IOException, InterruptedException;
    }

    Runner(Fleet fleet, String service, String id, String zone, Handler handler) throws IOException {
        this(fleet, service, id, zone, handler, false);
    }

    Runner(
            Fleet fleet,
            String service,
            String id,
            String zone,
            Handler handler,
            boolean numbersByTime)
            throws IOException {
        this.numbersByTime = numbersByTime;
        this.fleet = fleet;
        this.service = service;
        this.id = id;
        this.zone = zone;
        this.handler = handler;
        this.server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        start(this::acceptAll);
        start(this::ping);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void ping() {
        while (!closed) {
            sendPing();
            try {
                Thread.sleep(PING_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Sends one ping, to the next process if it gets no ack; returns whether it was acked. */
    private synchronized boolean sendPing() {
        for (Fleet.Machine control : fleet.controls) {
            // It increases with each call.
            count++;
            long sequence = numbersByTime ? (System.nanoTime() - startNanos) / 1_000 : count;
            String body =
                    "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + server.getLocalPort()
                            + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":64,"
                            + "\"state\":\"" + state + "\",\"cold_left_ms\":0,\"sequence\":" + sequence
                            + ",\"born\":" + born + "}";
            int status =
                    Fleet.call(control.ip, fleet.controlPort, "PUT", "/api/instances/" + id, Map.of(), body)
                            .status;
            if (status == 200) {
                return true;
            }
        }
        return false;
    }

    /** Reports that it is draining, and returns whether that was acked. */
    boolean drain() {
        state = "draining";
        return sendPing();
    }

    private void acceptAll() {
        while (!closed) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            String head = Fleet.readHead(in);
            while (!head.isEmpty()) {
                Request request = new Request(head, new byte[0]);
                String length = request.header("Content-Length");
                byte[] body = length.isEmpty() ? new byte[0] : in.readNBytes(Integer.parseInt(length));
                request = new Request(head, body);
                if (!request.header("Target-Instance").equals(id)) {
                    write(socket.getOutputStream(), "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n");
                } else {
                    requests.add(request);
                    handler.run(this, request, socket.getOutputStream());
                }
                head = Fleet.readHead(in);
            }
        } catch (IOException e) {
            // The system has closed the channel.
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
    }
}
