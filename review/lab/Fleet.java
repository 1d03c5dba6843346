import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: three control instances and some entry instances, each
 * a process started with the command of the deploy file and the rendered settings template.
 */
final class Fleet implements AutoCloseable {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final int RULE_HELD = 0;
    static final int RULE_BROKEN = 1;
    static final int CANNOT_RUN = 2;
    static final String HOST = "ficu95.example";

    private static final long START_TIMEOUT_MILLIS = 40_000;

    final List<Node> controls = new ArrayList<>();
    final List<Node> entries = new ArrayList<>();
    private final Path folder;
    private final Map<String, String> commands = new HashMap<>();
    private final int linkPort;
    private final int callerPort;
    private final int readyPort;
    private final int controlPort;
    private final int metricsPort;
    private final long startNanos = System.nanoTime();
    private final BufferedWriter recordFile;

    /** One process; its address is its own loopback IP. */
    final class Node {
        final String role;
        final String ip;
        final String zone;
        Process process;

        Node(String role, String ip, String zone) {
            this.role = role;
            this.ip = ip;
            this.zone = zone;
        }

        InetSocketAddress callers() {
            return new InetSocketAddress(ip, callerPort);
        }

        InetSocketAddress ready() {
            return new InetSocketAddress(ip, readyPort);
        }

        InetSocketAddress api() {
            return new InetSocketAddress(ip, controlPort);
        }

        void start(boolean firstStart) throws IOException {
            Path home = Files.createDirectories(folder.resolve(ip));
            Path settings = home.resolve("settings.ini");
            Files.writeString(settings, settings(this, home.resolve("data"), firstStart));
            ProcessBuilder builder = new ProcessBuilder(commands.get(role).split(" "));
            builder.environment().keySet().retainAll(
                    List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("JAYTURN_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(home.resolve("log.txt").toFile()));
            process = builder.start();
            record("start " + role + " " + ip);
        }

        void signal(String name) throws IOException, InterruptedException {
            record("signal " + name + " to " + role + " " + ip);
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        void kill() throws InterruptedException {
            record("kill " + role + " " + ip);
            process.destroyForcibly();
            process.waitFor(20, TimeUnit.SECONDS);
        }

        String log() throws IOException {
            return Files.readString(folder.resolve(ip).resolve("log.txt"));
        }
    }

    Fleet(Path caseFolder, int entryCount) throws IOException {
        recordFile = Files.newBufferedWriter(caseFolder.resolve("record.txt"));
        folder = Files.createTempDirectory("jayturn-review");
        readCommands();
        List<Integer> ports = freePorts(5);
        linkPort = ports.get(0);
        callerPort = ports.get(1);
        readyPort = ports.get(2);
        controlPort = ports.get(3);
        metricsPort = ports.get(4);
        // Ends the processes also if the script is terminated.
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        String[] zones = {"mauricie-a", "mauricie-b", "estrie-a"};
        for (int i = 0; i < 3; i++) {
            controls.add(new Node("control", "127.0.1." + (i + 1), zones[i]));
        }
        for (int i = 0; i < entryCount; i++) {
            entries.add(new Node("entry", "127.0.2." + (i + 1), zones[i % 3]));
        }
    }

    private void readCommands() throws IOException {
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        Matcher roles =
                Pattern.compile("\\[roles\\.(\\w+)]\\s*run = \"([^\"]*)\"").matcher(deploy);
        while (roles.find()) {
            commands.put(roles.group(1), roles.group(2));
        }
    }

    /** Renders platform/settings.ini for an instance, with the bounds of a small deployment. */
    private String settings(Node node, Path data, boolean firstStart) {
        List<String> seeds = new ArrayList<>();
        controls.forEach(control -> seeds.add(control.ip + ":" + controlPort));
        StringBuilder text = new StringBuilder();
        text.append("[instance]\nname = ").append(node.role).append('-').append(node.ip);
        text.append("\ndata-centre = ").append(node.zone);
        text.append("\n[metrics]\nlisten = ").append(node.ip).append(':').append(metricsPort);
        text.append("\n[fleet]\nlisten = ").append(node.ip).append(':').append(linkPort);
        text.append("\nseeds = ").append(String.join(",", seeds));
        text.append("\nnew = ").append(firstStart);
        text.append("\nregions = mauricie-a=mauricie,estrie-a=estrie,mauricie-b=mauricie\n");
        if (node.role.equals("entry")) {
            text.append("callers = ").append(node.ip).append(':').append(callerPort);
            text.append("\nready = ").append(node.ip).append(':').append(readyPort).append('\n');
        } else {
            text.append("control = ").append(node.ip).append(':').append(controlPort);
            text.append("\ndata-folder = ").append(data).append('\n');
        }
        text.append("grace = 8\nlink = 1000.0\nretry-ratio = 0.2\nretry-slack = 52\n");
        return text.append("retry-window = 10\n").toString();
    }

    private static List<Integer> freePorts(int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0);
            sockets.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    /** Starts all processes, puts a configuration and waits until all entry instances are ready. */
    void start(String configuration) throws IOException, InterruptedException {
        for (Node control : controls) {
            control.start(true);
        }
        for (Node entry : entries) {
            entry.start(true);
        }
        put(configuration);
        for (Node entry : entries) {
            awaitOk(entry.ready(), "GET /api/readiness", "");
        }
    }

    /** Sends a configuration to one control instance after the other until one acknowledges it. */
    void put(String configuration) throws IOException, InterruptedException {
        callAny("PUT /api/config", configuration);
    }

    /** Sends a call to one control instance after the other until one answers with 200. */
    void callAny(String call, String body) throws IOException, InterruptedException {
        long end = System.currentTimeMillis() + START_TIMEOUT_MILLIS;
        while (System.currentTimeMillis() < end) {
            for (Node control : controls) {
                if (call(control.api(), call, body, 1_500) == 200) {
                    record(call + " acknowledged by " + control.ip);
                    return;
                }
            }
            Thread.sleep(100);
        }
        throw new IOException("no acknowledgement of " + call);
    }

    private void awaitOk(InetSocketAddress address, String call, String body)
            throws IOException, InterruptedException {
        long end = System.currentTimeMillis() + START_TIMEOUT_MILLIS;
        while (call(address, call, body, 1_000) != 200) {
            if (System.currentTimeMillis() > end) {
                throw new IOException("no 200 from " + address + " to " + call);
            }
            Thread.sleep(100);
        }
    }

    /** Returns the status of the response, 0 if there is none in time. */
    static int call(InetSocketAddress to, String call, String body, int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(to, timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head =
                    call
                            + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                            + "Content-Type: application/json\r\nContent-Length: "
                            + bytes.length
                            + "\r\n\r\n";
            OutputStream out = socket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            out.write(bytes);
            out.flush();
            return Http.read(socket.getInputStream()).status;
        } catch (IOException e) {
            return 0;
        }
    }

    /** Returns the body of a GET, or null if the status isn't 200. */
    static String get(InetSocketAddress to, String path, int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(to, timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            String head = "GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            Http response = Http.read(socket.getInputStream());
            return response.status == 200 && response.complete ? response.text() : null;
        } catch (IOException e) {
            return null;
        }
    }

    /** Sends the heartbeat of an upstream until a control instance acknowledges it. */
    void heartbeat(
            String id, String service, int port, String zone, String state, long born, long sequence)
            throws IOException, InterruptedException {
        callAny(
                "PUT /api/instances/" + id,
                "{\"service\":\""
                        + service
                        + "\",\"address\":\"127.0.0.1:"
                        + port
                        + "\",\"zone\":\""
                        + zone
                        + "\",\"version\":\"v1\",\"slots\":64,\"state\":\""
                        + state
                        + "\",\"cold_left_ms\":0,\"sequence\":"
                        + sequence
                        + ",\"born\":"
                        + born
                        + "}");
    }

    synchronized void record(String line) {
        try {
            long millis = (System.nanoTime() - startNanos) / 1_000_000;
            recordFile.write(String.format(Locale.ROOT, "%7.3f %s%n", millis / 1000.0, line));
            recordFile.flush();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void endProcesses() {
        List<Node> all = new ArrayList<>(entries);
        all.addAll(controls);
        for (Node node : all) {
            if (node.process != null) {
                node.process.destroyForcibly();
                try {
                    node.process.waitFor(20, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        if (System.getenv("KEEP") == null) {
            delete(folder.toFile());
        } else {
            System.err.println(folder);
        }
        recordFile.close();
    }

    private static void delete(File file) {
        File[] children = file.listFiles();
        if (children != null) {
            for (File child : children) {
                delete(child);
            }
        }
        file.delete();
    }

    /** A response as a caller reads it. */
    static final class Http {
        int status;
        final Map<String, String> headers = new HashMap<>();
        final ByteArrayOutputStream body = new ByteArrayOutputStream();

        /** Whether the framing says that the response is whole. */
        boolean complete;

        String text() {
            return body.toString(StandardCharsets.UTF_8);
        }

        static Http read(InputStream in) throws IOException {
            Http response = new Http();
            String line = line(in);
            if (line.isEmpty()) {
                return response;
            }
            response.status = Integer.parseInt(line.split(" ")[1]);
            line = line(in);
            while (!line.isEmpty()) {
                int colon = line.indexOf(':');
                response.headers.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).trim());
                line = line(in);
            }
            try {
                response.readBody(in);
            } catch (IOException e) {
                response.complete = false;
            }
            return response;
        }

        private void readBody(InputStream in) throws IOException {
            String length = headers.get("content-length");
            if (length != null) {
                byte[] bytes = in.readNBytes(Integer.parseInt(length));
                body.write(bytes);
                complete = bytes.length == Integer.parseInt(length);
            } else if ("chunked".equals(headers.get("transfer-encoding"))) {
                while (true) {
                    String size = line(in);
                    if (size.isEmpty()) {
                        return;
                    }
                    int chunk = Integer.parseInt(size.trim(), 16);
                    byte[] bytes = in.readNBytes(chunk);
                    body.write(bytes);
                    if (bytes.length < chunk) {
                        return;
                    }
                    line(in);
                    if (chunk == 0) {
                        complete = true;
                        return;
                    }
                }
            } else {
                body.write(in.readAllBytes());
                complete = true;
            }
        }

        static String line(InputStream in) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            int next = in.read();
            while (next >= 0 && next != '\n') {
                if (next != '\r') {
                    bytes.write(next);
                }
                next = in.read();
            }
            return bytes.toString(StandardCharsets.ISO_8859_1);
        }
    }
}
