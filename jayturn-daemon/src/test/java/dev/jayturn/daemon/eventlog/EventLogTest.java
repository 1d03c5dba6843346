package dev.jayturn.daemon.eventlog;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.base.Splitter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

final class EventLogTest {
    private static final int MAX_LINES_PER_SECOND = 50;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private long nowMillis = 1_000;

    private List<JsonNode> writtenLines() throws IOException, InterruptedException {
        // The writer thread collects lines for 100 ms before it writes them.
        Thread.sleep(300);
        List<JsonNode> lines = new ArrayList<>();
        String text = out.toString(StandardCharsets.UTF_8);
        for (String line : Splitter.on('\n').omitEmptyStrings().split(text)) {
            lines.add(new ObjectMapper().readTree(line));
        }
        return lines;
    }

    @Test
    void eventsOfARequestCanBeSelectedByItsId() throws IOException, InterruptedException {
        EventLog log = new EventLog(out, () -> nowMillis, MAX_LINES_PER_SECOND);
        log.event("placement.chosen", json -> json.writeStringField("request", "r1"));
        log.event("placement.chosen", json -> json.writeStringField("request", "r2"));
        log.event("request.ended", json -> json.writeStringField("request", "r1"));
        assertThat(writtenLines())
                .filteredOn(line -> line.path("request").asText().equals("r1"))
                .extracting(line -> line.path("event").asText())
                .containsExactly("placement.chosen", "request.ended");
    }

    @Test
    void linesAboveTheRateLimitAreDroppedAndCounted() throws IOException, InterruptedException {
        EventLog log = new EventLog(out, () -> nowMillis, MAX_LINES_PER_SECOND);
        for (int i = 0; i < 10 * MAX_LINES_PER_SECOND; i++) {
            log.event("request.ended", json -> {});
        }
        nowMillis += 1_000;
        log.event("request.ended", json -> {});
        List<JsonNode> lines = writtenLines();
        assertThat(lines).hasSize(MAX_LINES_PER_SECOND + 1);
        assertThat(log.droppedLines()).isEqualTo(9 * MAX_LINES_PER_SECOND);
        assertThat(lines.get(MAX_LINES_PER_SECOND).path("leftOut").asInt())
                .isEqualTo(9 * MAX_LINES_PER_SECOND);
    }

    @Test
    @Timeout(10)
    void blockedOutputDoesNotBlockDecisions() {
        CountDownLatch neverReleased = new CountDownLatch(1);
        OutputStream blocked =
                new OutputStream() {
                    @Override
                    public void write(int b) throws IOException {
                        try {
                            neverReleased.await();
                        } catch (InterruptedException e) {
                            throw new IOException(e);
                        }
                    }
                };
        EventLog log = new EventLog(blocked, () -> nowMillis, Integer.MAX_VALUE);
        for (int i = 0; i < 20_000; i++) {
            log.event("request.ended", json -> {});
        }
        assertThat(log.droppedLines()).isGreaterThan(10_000);
    }
}
