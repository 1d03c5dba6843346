import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Starts a small deployment with the commands of deploy/system.toml as separate processes, each on
 * a loopback address of its own, and plays the operator and the platform. The ports are the same on
 * all machines, as on the platform.
 */
final class Fleet implements Closeable {
    private static final int CALL_TIMEOUT_MILLIS = 2_000;
    private static final long START_TIMEOUT_MILLIS = 30_000;
    private static final String[] ZONES = {"mauricie-a", "estrie-a", "mauricie-b"};

    final List<Machine> controls = new ArrayList<>();
    final List<Machine> entries = new ArrayList<>();
    final int linkPort;
    final int controlPort;
    final int callerPort;
    final int readyPort;
    final int metricsPort;
    private final Path folder;
    private final String network;

    /** One process and its settings file. */
    final class Machine {
        final String role;
        final String ip;
        final String zone;
        final Path home;
        Process process;

        Machine(String role, String ip, String zone) throws IOException {
            this.role = role;
            this.ip = ip;
            this.zone = zone;
            this.home = Files.createDirectories(folder.resolve(role + "-" + ip));
        }

        /** Writes what the platform renders from platform/settings.ini. */
        private void writeSettings(boolean isNew) throws IOException {
            List<String> lines = new ArrayList<>();
            lines.add("[instance]");
            lines.add("name = " + role + "-" + ip);
            lines.add("data-centre = " + zone);
            lines.add("[metrics]");
            lines.add("listen = " + ip + ":" + metricsPort);
            lines.add("[fleet]");
            lines.add("listen = " + ip + ":" + linkPort);
            lines.add("seeds = " + seeds());
            lines.add("new = " + isNew);
            lines.add("regions = mauricie-a=mauricie,estrie-a=estrie,mauricie-b=mauricie");
            if (role.equals("entry")) {
                lines.add("callers = " + ip + ":" + callerPort);
                lines.add("ready = " + ip + ":" + readyPort);
                // Machines of their own have only their own address; on loopback it must be named.
                lines.add("source = " + ip);
            } else {
                lines.add("control = " + ip + ":" + controlPort);
                lines.add("data-folder = " + home.resolve("data"));
            }
            lines.add("grace = 8");
            lines.add("link = 1000.0");
            lines.add("retry-ratio = 0.2");
            lines.add("retry-slack = 52");
            lines.add("retry-window = 10");
            Files.write(home.resolve("settings"), lines);
        }

        void start(boolean isNew) throws IOException {
            writeSettings(isNew);
            ProcessBuilder builder = new ProcessBuilder(command(role));
            builder.environment()
                    .keySet()
                    .removeIf(k -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(k));
            builder.environment().put("JAYTURN_NODE_FILE", home.resolve("settings").toString());
            File log = home.resolve("log").toFile();
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
            process = builder.start();
        }

        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        void kill() throws InterruptedException {
            if (process != null) {
                process.destroyForcibly();
                process.waitFor(10, TimeUnit.SECONDS);
            }
        }
    }

    Fleet(int controlCount, int entryCount) throws IOException {
        folder = Files.createTempDirectory("review-2-");
        ThreadLocalRandom random = ThreadLocalRandom.current();
        network = "127." + random.nextInt(20, 250) + "." + random.nextInt(1, 250) + ".";
        int base = random.nextInt(20_000, 30_000);
        linkPort = free(base);
        controlPort = free(linkPort + 1);
        callerPort = free(controlPort + 1);
        readyPort = free(callerPort + 1);
        metricsPort = free(readyPort + 1);
        for (int i = 0; i < controlCount; i++) {
            controls.add(new Machine("control", network + (10 + i), ZONES[i % ZONES.length]));
        }
        for (int i = 0; i < entryCount; i++) {
            entries.add(new Machine("entry", network + (50 + i), ZONES[i % ZONES.length]));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        for (Machine machine : machines()) {
            machine.start(true);
        }
    }

    private static int free(int from) throws IOException {
        for (int port = from; port < from + 1_000; port++) {
            try (ServerSocket probe = new ServerSocket()) {
                probe.bind(new InetSocketAddress("0.0.0.0", port));
                return port;
            } catch (IOException e) {
                // In use; the next one may be free.
                continue;
            }
        }
        throw new IOException("no free port");
    }

    private String seeds() {
        List<String> seeds = new ArrayList<>();
        controls.stream().limit(3).forEach(c -> seeds.add(c.ip + ":" + controlPort));
        return String.join(",", seeds);
    }

    private static List<String> command(String role) throws IOException {
        String toml = Files.readString(Path.of("deploy/system.toml"));
        Matcher run =
                Pattern.compile("\\[roles\\." + role + "\\][^\\[]*?\\nrun = \"([^\"]*)\"").matcher(toml);
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no role " + role);
        }
        return List.of(run.group(1).split(" "));
    }

    private List<Machine> machines() {
        List<Machine> all = new ArrayList<>(controls);
        all.addAll(entries);
        return all;
    }

    /** Sends a configuration until it is acknowledged. */
    void configure(String document) throws IOException, InterruptedException {
        long end = System.currentTimeMillis() + START_TIMEOUT_MILLIS;
        while (System.currentTimeMillis() < end) {
            for (Machine control : controls) {
                Response response = call(control.ip, controlPort, "PUT", "/api/config", Map.of(), document);
                if (response.status == 200) {
                    return;
                }
                if (response.status == 400) {
                    throw new IOException("the configuration was refused: " + response.body);
                }
            }
            Thread.sleep(100);
        }
        throw new IOException("no configuration was acknowledged");
    }

    /** Waits until all entry processes answer the platform's question with 200. */
    void awaitReady() throws IOException, InterruptedException {
        long end = System.currentTimeMillis() + START_TIMEOUT_MILLIS;
        for (Machine entry : entries) {
            while (call(entry.ip, readyPort, "GET", "/api/readiness", Map.of(), "").status != 200) {
                if (System.currentTimeMillis() > end) {
                    throw new IOException(entry.ip + " did not become ready");
                }
                Thread.sleep(100);
            }
        }
    }

    /** A response; the status is 0 if there was none. */
    static final class Response {
        int status;
        String head = "";
        String body = "";
        boolean complete;

        String header(String name) {
            Matcher line =
                    Pattern.compile("(?im)^" + Pattern.quote(name) + ": *(.*?) *\\r?$").matcher(head);
            return line.find() ? line.group(1) : "";
        }
    }

    /** Makes a call on a channel of its own. */
    static Response call(
            String ip, int port, String method, String path, Map<String, String> headers, String body) {
        return call(ip, port, method, path, headers, body, CALL_TIMEOUT_MILLIS);
    }

    static Response call(
            String ip,
            int port,
            String method,
            String path,
            Map<String, String> headers,
            String body,
            int timeoutMillis) {
        Response response = new Response();
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder();
        head.append(method).append(' ').append(path).append(" HTTP/1.1\r\n");
        if (!headers.containsKey("Host")) {
            head.append("Host: h.example\r\n");
        }
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Connection: close\r\nContent-Length: " + bytes.length + "\r\n\r\n");
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), 1_000);
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write(concat(head.toString().getBytes(StandardCharsets.ISO_8859_1), bytes));
            read(socket.getInputStream(), response);
        } catch (IOException e) {
            // A caller sees no response, or an incomplete one.
            response.complete = false;
        }
        return response;
    }

    private static byte[] concat(byte[] left, byte[] right) {
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        joined.writeBytes(left);
        joined.writeBytes(right);
        return joined.toByteArray();
    }

    private static void read(InputStream in, Response response) throws IOException {
        String head = readHead(in);
        if (head.isEmpty()) {
            return;
        }
        response.head = head;
        response.status = Integer.parseInt(head.substring(9, 12));
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if (response.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
                while (true) {
                    String line = readLine(in);
                    if (line.isEmpty()) {
                        return;
                    }
                    int size = Integer.parseInt(line, 16);
                    byte[] chunk = in.readNBytes(size);
                    body.writeBytes(chunk);
                    if (chunk.length < size) {
                        return;
                    }
                    readLine(in);
                    if (size == 0) {
                        response.complete = true;
                        return;
                    }
                }
            }
            String length = response.header("Content-Length");
            if (!length.isEmpty()) {
                byte[] bytes = in.readNBytes(Integer.parseInt(length));
                body.writeBytes(bytes);
                response.complete = bytes.length == Integer.parseInt(length);
            }
        } finally {
            response.body = body.toString(StandardCharsets.UTF_8);
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = in.read();
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.append((char) next);
            }
            next = in.read();
        }
        return line.toString();
    }

    static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private void killAll() {
        for (Machine machine : machines()) {
            if (machine.process != null) {
                machine.process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        try {
            for (Machine machine : machines()) {
                machine.kill();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
    }
}
