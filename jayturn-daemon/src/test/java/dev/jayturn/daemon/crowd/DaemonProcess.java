package dev.jayturn.daemon.crowd;

import com.google.common.hash.Hashing;
import dev.jayturn.lab.load.ProcessUsage;
import dev.jayturn.lab.service.ServiceServer;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A daemon as a process of its own, a service that announces itself to it, and a customer. */
final class DaemonProcess implements Closeable {
    private static final String IP = "127.48.1.1";
    private static final String API_KEY = "secret";
    private static final int PORTS = 4;
    private static final long START_TIMEOUT_MILLIS = 30_000;
    private static final long RETRY_MILLIS = 50;
    private static final long EXIT_TIMEOUT_SECONDS = 20;

    /** Only a process that hangs takes as long. */
    private static final int RESPONSE_TIMEOUT_MILLIS = 20_000;

    private final List<Integer> ports = freePorts();
    private final Path log;
    private final Process process;
    private final ServiceServer service;
    private int requests;

    /**
     * Starts a daemon with default settings, except for its addresses and folder, and waits until
     * it serves requests.
     *
     * @param options options of the virtual machine
     * @param entrySettings further settings of the section for callers, as lines
     */
    DaemonProcess(Path folder, List<String> options, String entrySettings)
            throws IOException, InterruptedException {
        log = folder.resolve("log.txt");
        Path settings = folder.resolve("settings.ini");
        Files.writeString(
                settings,
                String.join(
                        "\n",
                        "[entry]",
                        "listen = " + IP + ":" + callersPort(),
                        entrySettings,
                        "[operator]",
                        "listen = " + IP + ":" + operatorsPort(),
                        "[announce]",
                        "listen = " + IP + ":" + upstreamsPort(),
                        "[peer]",
                        "listen = " + IP + ":" + peersPort(),
                        "[control]",
                        "data-folder = " + folder.resolve("data")));
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(options);
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.addAll(List.of("dev.jayturn.daemon.JayturndMain", "--settings"));
        command.add(settings.toString());
        process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(log.toFile())
                        .start();
        service =
                new ServiceServer(
                        "s",
                        new InetSocketAddress("127.0.0.1", 0),
                        "desk",
                        "local",
                        List.of(IP + ":" + upstreamsPort()),
                        "",
                        1,
                        0);
        awaitServed();
    }

    private static List<Integer> freePorts() throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<Integer> free = new ArrayList<>();
        for (int i = 0; i < PORTS; i++) {
            sockets.add(new ServerSocket(0, 1, InetAddress.getByName(IP)));
        }
        for (ServerSocket socket : sockets) {
            free.add(socket.getLocalPort());
            socket.close();
        }
        return free;
    }

    private void awaitServed() throws IOException, InterruptedException {
        long endMillis = System.currentTimeMillis() + START_TIMEOUT_MILLIS;
        while (!isReady() || !setUpCustomer() || !isServed()) {
            if (process.isAlive() && System.currentTimeMillis() < endMillis) {
                Thread.sleep(RETRY_MILLIS);
                continue;
            }
            throw new IOException("the daemon does not serve requests:\n" + logText());
        }
    }

    private boolean setUpCustomer() {
        String keyHash = Hashing.sha256().hashString(API_KEY, StandardCharsets.UTF_8).toString();
        String rules =
                "customer roy # t\\nbudget season customer=roy # t\\nkey "
                        + keyHash
                        + " customer=roy budget=season # t\\nservice desk price=1 # t\\n";
        String change = "{\"changeId\":\"r\",\"expectedVersion\":0,\"text\":\"" + rules + "\"}";
        String credit = "{\"changeId\":\"c\",\"tokens\":100000}";
        return isAnswered(operatorsPort(), "POST", "/v1/rules", change, 200)
                && isAnswered(operatorsPort(), "POST", "/v1/budgets/season/credits", credit, 200);
    }

    String ip() {
        return IP;
    }

    int callersPort() {
        return ports.get(0);
    }

    int operatorsPort() {
        return ports.get(1);
    }

    int upstreamsPort() {
        return ports.get(2);
    }

    int peersPort() {
        return ports.get(3);
    }

    /** Returns whether a caller's request is run by the service and answered. */
    boolean isServed() {
        requests++;
        return isAnswered(callersPort(), "POST", "/services/desk/o", "{}", 201);
    }

    /** Returns whether a caller's request with further header lines is run and answered. */
    boolean isServedWith(String lines) {
        requests++;
        return isAnswered(callersPort(), "POST", "/services/desk/o", "{}", lines, 201);
    }

    /** Returns whether the balancer is told that the daemon takes callers. */
    boolean isReady() {
        return isAnswered(operatorsPort(), "GET", "/readyz", "", 200);
    }

    /** Returns whether an upstream that announces itself gets an answer. */
    boolean isAnnouncementTaken() {
        String announcement =
                "{\"id\":\"other\",\"service\":\"other\",\"address\":\"127.0.0.1:1\","
                        + "\"dataCentre\":\"local\"}";
        return isAnswered(upstreamsPort(), "POST", "/v1/announce", announcement, 200);
    }

    private boolean isAnswered(int port, String method, String path, String body, int status) {
        return isAnswered(port, method, path, body, "", status);
    }

    /** Sends a request on a connection of its own; returns whether the response has a status. */
    private boolean isAnswered(
            int port, String method, String path, String body, String lines, int status) {
        String request =
                "%s %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n".formatted(method, path)
                        + "Authorization: Bearer "
                        + API_KEY
                        + "\r\nIdempotency-Key: r"
                        + requests
                        + "\r\n"
                        + lines
                        + "Content-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(IP, port), RESPONSE_TIMEOUT_MILLIS);
            socket.setSoTimeout(RESPONSE_TIMEOUT_MILLIS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            String expected = "HTTP/1.1 " + status;
            byte[] begin = socket.getInputStream().readNBytes(expected.length());
            return new String(begin, StandardCharsets.ISO_8859_1).equals(expected);
        } catch (IOException e) {
            return false;
        }
    }

    boolean hasEnded() {
        return !process.isAlive();
    }

    long peakMemoryBytes() throws IOException {
        return ProcessUsage.peakMemoryBytes(process.pid());
    }

    int openDescriptors() {
        return ProcessUsage.openDescriptors(process.pid());
    }

    /** Returns what the daemon has logged. */
    String logText() throws IOException {
        return Files.readString(log);
    }

    @Override
    public void close() throws IOException {
        service.close();
        process.destroyForcibly();
        try {
            if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new IOException("the daemon does not end");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
