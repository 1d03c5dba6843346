package dev.jayturn.daemon.crowd;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.io.ByteArrayDataOutput;
import com.google.common.io.ByteStreams;
import dev.jayturn.lab.load.Crowd;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Crowds of callers that send a daemon more than it has memory for, and never read. */
@Timeout(180)
final class DaemonCrowdTest {
    /** Options of {@code bin/jayturnd}, with a heap for which a small crowd is enough. */
    private static final List<String> OPTIONS = List.of("-XX:+UseSerialGC", "-Xmx48m", "-Xss512k");

    /** More than any crowd here but one. */
    private static final String MAX_CONNECTIONS = "max-connections = 700";

    private static final int CROWD = 600;
    private static final int LARGEST_CROWD = 900;
    private static final int PIPELINING_CROWD = 300;
    private static final int READING_CROWD = 60;

    /** Below the maxima of 8 KiB and 16 KiB, with room for the request line. */
    private static final int HEAD_BYTES = 7_700;

    private static final int LONG_HEAD_BYTES = 15_600;

    private static final int PIPELINED_REQUESTS = 16;
    private static final int PIPELINED_READS = 2_000;

    /** Below the maximum of a caller's body, 1 MiB. */
    private static final int BODY_BYTES = 1_000_000;

    private static final int DOCUMENT_BYTES = 50_000_000;
    private static final int DOCUMENTS = 8;

    private static final int PEER_CALLS = 2_000;
    private static final int HTTP2_HEADERS = 1;
    private static final int HTTP2_SETTINGS = 4;
    private static final int HTTP2_END_HEADERS = 4;

    /** Memory of the smallest machine. */
    private static final long MAX_MEMORY_BYTES = 258L << 20;

    private static final int MAX_DESCRIPTORS = 1_000;

    private static final String CALL = "POST /services/desk/o HTTP/1.1\r\nHost: h\r\n";
    private static final String CHANGE = "POST /v1/rules HTTP/1.1\r\nHost: h\r\n";
    private static final String ANNOUNCEMENT = "POST /v1/announce HTTP/1.1\r\nHost: h\r\n";
    private static final String CHUNK = "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";

    @TempDir private Path folder;
    private DaemonProcess daemon;

    @BeforeEach
    void startDaemon() throws IOException, InterruptedException {
        daemon = new DaemonProcess(folder, OPTIONS, MAX_CONNECTIONS);
    }

    @AfterEach
    void endDaemon() throws IOException {
        daemon.close();
    }

    private static String repeat(String line, int bytes) {
        return line.repeat(bytes / line.length());
    }

    private void everybodyIsAnsweredBeside(int port, int size, String bytes)
            throws IOException, InterruptedException {
        everybodyIsAnsweredBeside(port, size, bytes.getBytes(ISO_8859_1));
    }

    private void everybodyIsAnsweredBeside(int port, int size, byte[] bytes)
            throws IOException, InterruptedException {
        try (Crowd crowd = new Crowd(daemon.ip(), port, size, i -> bytes)) {
            checkProcess(crowd.closedByInstance() + " connections closed");
            checkAnswers("beside the crowd");
        }
        checkAnswers("after the crowd");
        checkProcess("after the crowd");
    }

    private void checkProcess(String when) throws IOException {
        assertThat(daemon.hasEnded()).as("%s: ended%n%s", when, daemon.logText()).isFalse();
        assertThat(daemon.peakMemoryBytes()).as("%s: memory", when).isLessThan(MAX_MEMORY_BYTES);
        assertThat(daemon.openDescriptors()).as("%s: open", when).isLessThan(MAX_DESCRIPTORS);
    }

    private void checkAnswers(String when) {
        assertThat(daemon.isServed()).as("call %s", when).isTrue();
        assertThat(daemon.isReady()).as("ready %s", when).isTrue();
        assertThat(daemon.isAnnouncementTaken()).as("announcement %s", when).isTrue();
    }

    @Test
    void openHeadsOfCallers() throws IOException, InterruptedException {
        everybodyIsAnsweredBeside(daemon.callersPort(), CROWD, CALL + repeat("a:\r\n", HEAD_BYTES));
    }

    @Test
    void openTrailersOfCallers() throws IOException, InterruptedException {
        everybodyIsAnsweredBeside(
                daemon.callersPort(), CROWD, CALL + CHUNK + repeat("a:\r\n", HEAD_BYTES));
    }

    @Test
    void openHeadsOfDistinctNamesOfCallers() throws IOException, InterruptedException {
        StringBuilder names = new StringBuilder();
        for (int i = 0; names.length() < LONG_HEAD_BYTES; i++) {
            names.append(Integer.toString(i, Character.MAX_RADIX)).append(":\r\n");
        }
        everybodyIsAnsweredBeside(daemon.callersPort(), CROWD, CALL + names);
    }

    @Test
    void pipelinedCallsOfShortLines() throws IOException, InterruptedException {
        String call = CALL + repeat("a:\r\n", LONG_HEAD_BYTES) + "Content-Length: 0\r\n\r\n";
        everybodyIsAnsweredBeside(
                daemon.callersPort(), PIPELINING_CROWD, call.repeat(PIPELINED_REQUESTS));
    }

    @Test
    void unfinishedLinesOfCallers() throws IOException, InterruptedException {
        everybodyIsAnsweredBeside(
                daemon.callersPort(), CROWD, CALL + "a:" + "b".repeat(LONG_HEAD_BYTES));
    }

    @Test
    void unfinishedBodiesOfCallers() throws IOException, InterruptedException {
        String head = CALL + "Content-Length: " + BODY_BYTES + "\r\n\r\n";
        everybodyIsAnsweredBeside(
                daemon.callersPort(), PIPELINING_CROWD, head + "x".repeat(BODY_BYTES - 1));
    }

    @Test
    void moreConnectionsThanAreAllowed() throws IOException, InterruptedException {
        everybodyIsAnsweredBeside(daemon.callersPort(), LARGEST_CROWD, "P");
    }

    @Test
    void openHeadsOfOperators() throws IOException, InterruptedException {
        everybodyIsAnsweredBeside(
                daemon.operatorsPort(), CROWD, CHANGE + repeat("a:\r\n", HEAD_BYTES));
    }

    @Test
    void openTrailersOfOperators() throws IOException, InterruptedException {
        everybodyIsAnsweredBeside(
                daemon.operatorsPort(), CROWD, CHANGE + CHUNK + repeat("a:\r\n", HEAD_BYTES));
    }

    @Test
    void pipelinedReadsOfOperators() throws IOException, InterruptedException {
        String read = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n";
        everybodyIsAnsweredBeside(
                daemon.operatorsPort(), READING_CROWD, read.repeat(PIPELINED_READS));
    }

    @Test
    void unfinishedDocumentsOfOperators() throws IOException, InterruptedException {
        byte[] head =
                (CHANGE + "Content-Length: " + DOCUMENT_BYTES + "\r\n\r\n").getBytes(ISO_8859_1);
        byte[] bytes = Arrays.copyOf(head, head.length + DOCUMENT_BYTES - 1);
        everybodyIsAnsweredBeside(daemon.operatorsPort(), DOCUMENTS, bytes);
    }

    @Test
    void openHeadsOfUpstreams() throws IOException, InterruptedException {
        everybodyIsAnsweredBeside(
                daemon.upstreamsPort(), CROWD, ANNOUNCEMENT + repeat("a:\r\n", HEAD_BYTES));
    }

    @Test
    void linesAtAddressOfOtherInstances() throws IOException, InterruptedException {
        everybodyIsAnsweredBeside(daemon.peersPort(), CROWD, CALL + repeat("a:\r\n", HEAD_BYTES));
    }

    private static void writeFrame(
            ByteArrayDataOutput out, int type, int flags, int stream, byte[] payload) {
        out.writeByte(payload.length >> 16);
        out.writeShort(payload.length);
        out.writeByte(type);
        out.writeByte(flags);
        out.writeInt(stream);
        out.write(payload);
    }

    /** Returns the head of a call of the peer service, without compression. */
    private static byte[] peerCall() {
        ByteArrayDataOutput head = ByteStreams.newDataOutput();
        String path = "/dev.jayturn.wire.Peer/Exchange";
        // Indexed are the method POST and the scheme http; the names of the path and the type too.
        head.write(new byte[] {(byte) 0x83, (byte) 0x86, 0x04, (byte) path.length()});
        head.write(path.getBytes(ISO_8859_1));
        head.write(new byte[] {0x0f, 0x10, (byte) "application/grpc".length()});
        head.write("application/grpc".getBytes(ISO_8859_1));
        head.write(new byte[] {0x00, 2, 't', 'e', 8});
        head.write("trailers".getBytes(ISO_8859_1));
        return head.toByteArray();
    }

    @Test
    void openCallsAtAddressOfOtherInstances() throws IOException, InterruptedException {
        ByteArrayDataOutput calls = ByteStreams.newDataOutput();
        calls.write("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".getBytes(ISO_8859_1));
        writeFrame(calls, HTTP2_SETTINGS, 0, 0, new byte[0]);
        for (int i = 0; i < PEER_CALLS; i++) {
            writeFrame(calls, HTTP2_HEADERS, HTTP2_END_HEADERS, 2 * i + 1, peerCall());
        }
        everybodyIsAnsweredBeside(daemon.peersPort(), READING_CROWD, calls.toByteArray());
    }

    @Test
    void oneCallOfShortLinesIsServedInCalm() {
        assertThat(daemon.isServedWith(repeat("a:\r\n", HEAD_BYTES))).isTrue();
    }
}
