import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A new configuration raises `max_header_bytes`. Clients then send longer headers, within the new
 * limit, on channels that they have kept.
 */
final class Case9 {
    private static final int CHANNELS = 20;
    private static final int FIRST_LIMIT = 4_096;
    private static final int LATER_LIMIT = 16_384;
    private static final int LONG_HEADER = 8_000;
    private static final Pattern LENGTH = Pattern.compile("(?im)^content-length: *(\\d+)");

    private Case9() {}

    private static String configuration(int version, int maxHeaderBytes) {
        return "{\"version\":" + version
                + ",\"routes\":[{\"name\":\"r\",\"host\":\"h.example\",\"path_prefix\":\"/credit/\","
                + "\"kind\":\"non_idempotent\",\"timeout_ms\":1200,\"goal_ms\":400,\"priority\":2,"
                + "\"service\":\"app\",\"max_attempts\":1,\"public\":false}],"
                + "\"services\":[{\"name\":\"app\",\"health_path\":\"/health\",\"max_conns\":96,"
                + "\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max_header_bytes\":" + maxHeaderBytes + ",\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"],\"priority\":1}]}";
    }

    private static void answer(Runner runner, Runner.Request request, OutputStream out)
            throws IOException {
        String requestId = request.header("Request-Id");
        Runner.write(
                out,
                "HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nResponse-Seal: s." + requestId
                        + "\r\nContent-Length: 4\r\n\r\ndone");
    }

    /** Sends a request on a channel that stays open, and returns the status of the response. */
    private static int send(Socket channel, String id, int extraBytes) throws IOException {
        String extra = extraBytes == 0 ? "" : "X-Context: " + "c".repeat(extraBytes) + "\r\n";
        String request =
                "POST /credit/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
                        + "\r\nApi-Key: k\r\nDeadline-Ms: 2500\r\n" + extra + "Content-Length: 4\r\n\r\nslip";
        channel.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        InputStream in = channel.getInputStream();
        String head = Fleet.readHead(in);
        if (head.isEmpty()) {
            return 0;
        }
        Matcher length = LENGTH.matcher(head);
        if (length.find()) {
            in.readNBytes(Integer.parseInt(length.group(1)));
        }
        return Integer.parseInt(head.substring(9, 12));
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        boolean broken;
        try (PrintWriter record = new PrintWriter(Path.of(args[0], "record.txt").toFile());
                Fleet fleet = new Fleet(3, 2);
                Runner runner = new Runner(fleet, "app", "i-1", "mauricie-a", Case9::answer)) {
            int firstLimit = trouble ? FIRST_LIMIT : LATER_LIMIT;
            fleet.configure(configuration(1, firstLimit));
            fleet.awaitReady();
            Thread.sleep(3_000);
            record.println("version 1 acknowledged: max_header_bytes " + firstLimit);
            List<Socket> channels = new ArrayList<>();
            int sent = 0;
            for (int i = 0; i < CHANNELS; i++) {
                Socket channel = new Socket();
                Fleet.Machine entry = fleet.entries.get(i % fleet.entries.size());
                channel.connect(new InetSocketAddress(entry.ip, fleet.callerPort), 1_000);
                channel.setSoTimeout(3_000);
                channels.add(channel);
                record.println("channel " + i + ", short header: " + send(channel, "a" + i, 0));
                sent++;
            }
            fleet.configure(configuration(2, LATER_LIMIT));
            record.println("version 2 acknowledged: max_header_bytes " + LATER_LIMIT);
            // More than config_ms and contact_ms; the channels are idle for less than 4/5 of 15 s.
            Thread.sleep(5_000);
            int denied = 0;
            for (int i = 0; i < CHANNELS; i++) {
                int status = send(channels.get(i), "b" + i, LONG_HEADER);
                sent++;
                denied += status >= 400 && status < 500 && status != 408 && status != 421 && status != 429 ? 1 : 0;
                record.println("channel " + i + ", kept, header of " + LONG_HEADER + " bytes: " + status);
                channels.get(i).close();
            }
            for (int i = 0; i < fleet.entries.size(); i++) {
                try (Socket channel = new Socket()) {
                    channel.connect(new InetSocketAddress(fleet.entries.get(i).ip, fleet.callerPort), 1_000);
                    channel.setSoTimeout(3_000);
                    record.println("new channel to the same process, header of " + LONG_HEADER + " bytes: "
                            + send(channel, "c" + i, LONG_HEADER));
                    sent++;
                }
            }
            broken = denied > 5 + sent / 500.0;
            record.println(
                    sent + " requests, all proper; " + denied + " ended with a 4xx, "
                            + "5 and one in 500 are allowed: " + (broken ? "BROKEN" : "held"));
        }
        System.exit(broken ? 1 : 0);
    }
}
