package dev.jayturn.daemon.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;

/** Splits a stream of server-sent events, so that only complete events are forwarded. */
final class ServerSentEventScanner {
    private static final String ID_FIELD = "id:";

    /** Maximum size of one event; a faulty upstream may send one that never ends. */
    private static final int MAX_EVENT_BYTES = 256 * 1_024;

    /** The incomplete event at the end of the bytes received so far. */
    private final ByteBuf buffer;

    private String lastId;
    private String pendingId = "";
    private long eventCount;

    /** Number of buffered bytes that were scanned before. */
    private int scannedBytes;

    /** Offset in the buffer at which the current line starts. */
    private int lineOffset;

    private boolean blankLine = true;

    /** Whether a line of the incomplete event was scanned. */
    private boolean insideEvent;

    ServerSentEventScanner(ByteBufAllocator allocator, String lastId) {
        this.buffer = allocator.heapBuffer();
        this.lastId = lastId;
    }

    /**
     * Returns the id of the last complete event that has an id; the id given at construction if
     * there was none.
     */
    String lastId() {
        return lastId;
    }

    /** Returns the number of complete events. */
    long eventCount() {
        return eventCount;
    }

    /** Adds bytes and returns the events that they complete, which may be none. */
    ByteBuf scan(ByteBuf bytes) {
        buffer.writeBytes(bytes);
        int start = buffer.readerIndex();
        int length = buffer.readableBytes();
        int completeBytes = 0;
        for (int offset = scannedBytes; offset < length; offset++) {
            byte character = buffer.getByte(start + offset);
            if (character != '\n') {
                blankLine &= character == '\r';
                continue;
            }
            if (!blankLine) {
                insideEvent = true;
                parseLine(start + lineOffset, offset - lineOffset);
            } else {
                // A blank line outside an event is passed on as it is.
                completeBytes = offset + 1;
                if (insideEvent) {
                    completeEvent();
                }
            }
            lineOffset = offset + 1;
            blankLine = true;
        }
        ByteBuf completeEvents = buffer.readBytes(completeBytes);
        buffer.discardSomeReadBytes();
        scannedBytes = length - completeBytes;
        lineOffset -= completeBytes;
        return completeEvents;
    }

    private void completeEvent() {
        insideEvent = false;
        eventCount++;
        if (!pendingId.isEmpty()) {
            lastId = pendingId;
            pendingId = "";
        }
    }

    private void parseLine(int start, int length) {
        if (length > ID_FIELD.length()) {
            String line = buffer.toString(start, length, StandardCharsets.UTF_8);
            if (line.startsWith(ID_FIELD)) {
                pendingId = line.substring(ID_FIELD.length()).trim();
            }
        }
    }

    /** Returns whether the bytes so far end with an incomplete event. */
    boolean hasPartialEvent() {
        return buffer.isReadable();
    }

    /** Returns whether the incomplete event exceeds the maximum size. */
    boolean isEventTooLong() {
        return buffer.readableBytes() > MAX_EVENT_BYTES;
    }

    /** Discards the incomplete event, after the stream of its upstream was interrupted. */
    void discardPartialEvent() {
        buffer.clear();
        pendingId = "";
        scannedBytes = 0;
        lineOffset = 0;
        blankLine = true;
        insideEvent = false;
    }

    void release() {
        buffer.release();
    }
}
