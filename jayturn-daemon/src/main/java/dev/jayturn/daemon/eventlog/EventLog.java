package dev.jayturn.daemon.eventlog;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.google.common.util.concurrent.Uninterruptibles;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * Structured log with one JSON object per line, written by a thread of its own. Lines above the
 * rate limit, and lines that find the queue full, as while the output is blocked, are dropped and
 * counted. The next line written reports the total in its {@code leftOut} field.
 */
public final class EventLog {
    private static final int MAX_QUEUED_LINES = 2_000;
    private static final long BATCH_INTERVAL_MILLIS = 100;
    private static final long WINDOW_MILLIS = 1_000;
    private static final JsonFactory JSON = new JsonFactory();

    private final OutputStream out;
    private final LongSupplier clockMillis;
    private int linesPerSecond;
    private final ArrayBlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong droppedLines = new AtomicLong();
    private long windowStartMillis;
    private int windowLines;
    private long reportedDroppedLines;

    /** Adds the fields of one event. */
    public interface Fields {
        /** Writes fields into the JSON object of the event. */
        void write(JsonGenerator json) throws IOException;
    }

    /**
     * Starts a log.
     *
     * @param linesPerSecond limit on the lines per second; 0 drops all lines
     */
    public EventLog(OutputStream out, LongSupplier clockMillis, int linesPerSecond) {
        this.out = out;
        this.clockMillis = clockMillis;
        this.linesPerSecond = linesPerSecond;
        Thread writer = new Thread(this::writeLoop, "event-log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Sets the limit on lines per second. Must be called on the thread that logs events. */
    public void setLinesPerSecond(int lines) {
        linesPerSecond = lines;
    }

    /** Returns how many lines were dropped since the start. */
    public long droppedLines() {
        return droppedLines.get();
    }

    /**
     * Logs an event. Never blocks on the output; must always be called on the same thread.
     *
     * @param name the component and what happened, such as {@code request.ended}
     */
    public void event(String name, Fields fields) {
        long now = clockMillis.getAsLong();
        if (now - windowStartMillis >= WINDOW_MILLIS) {
            windowStartMillis = now;
            windowLines = 0;
        }
        if (windowLines >= linesPerSecond) {
            droppedLines.incrementAndGet();
            return;
        }
        windowLines++;
        offer(name, now, fields);
    }

    /**
     * Logs the counts of an interval, of which the sender bounds the number and the size: they do
     * not count towards the limit on lines, which would drop them when they matter. Otherwise like
     * {@link #event}.
     */
    public void summary(String name, Fields fields) {
        if (linesPerSecond > 0) {
            offer(name, clockMillis.getAsLong(), fields);
        }
    }

    private void offer(String name, long now, Fields fields) {
        if (!queue.offer(encode(name, now, fields))) {
            droppedLines.incrementAndGet();
        }
    }

    private byte[] encode(String name, long now, Fields fields) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(bytes)) {
            json.writeStartObject();
            json.writeStringField("event", name);
            json.writeNumberField("at", now);
            fields.write(json);
            long dropped = droppedLines.get();
            if (dropped != reportedDroppedLines) {
                json.writeNumberField("leftOut", dropped);
                reportedDroppedLines = dropped;
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        bytes.write('\n');
        return bytes.toByteArray();
    }

    private void writeLoop() {
        while (true) {
            byte[] first = Uninterruptibles.takeUninterruptibly(queue);
            Uninterruptibles.sleepUninterruptibly(BATCH_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            ByteArrayOutputStream batch = new ByteArrayOutputStream();
            batch.writeBytes(first);
            byte[] next = queue.poll();
            while (next != null) {
                batch.writeBytes(next);
                next = queue.poll();
            }
            try {
                out.write(batch.toByteArray());
                out.flush();
            } catch (IOException e) {
                // The reader of the output has closed it, so the failure cannot be logged.
                droppedLines.incrementAndGet();
            }
        }
    }
}
