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
 * Writes one JSON object a line. Lines beyond the bound, or while the output is blocked, are left
 * out and counted; the next line that is written says how many.
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
        /** Writes fields into the open object. */
        void write(JsonGenerator json) throws IOException;
    }

    /**
     * Starts a log.
     *
     * @param linesPerSecond most lines written in a second; 0 writes none
     */
    public EventLog(OutputStream out, LongSupplier clockMillis, int linesPerSecond) {
        this.out = out;
        this.clockMillis = clockMillis;
        this.linesPerSecond = linesPerSecond;
        Thread writer = new Thread(this::writeLoop, "event-log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Sets the most lines written in a second; call on the thread of the events. */
    public void setLinesPerSecond(int lines) {
        linesPerSecond = lines;
    }

    /** Returns how many lines were left out. */
    public long droppedLines() {
        return droppedLines.get();
    }

    /** Writes a line for an event, named by its part and what happened; call on one thread. */
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
            long omitted = droppedLines.get();
            if (omitted != reportedDroppedLines) {
                json.writeNumberField("leftOut", omitted);
                reportedDroppedLines = omitted;
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
                // Whoever read the output has gone; there is nowhere left to say so.
                droppedLines.incrementAndGet();
            }
        }
    }
}
