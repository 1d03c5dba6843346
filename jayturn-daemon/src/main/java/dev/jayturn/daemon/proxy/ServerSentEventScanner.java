package dev.jayturn.daemon.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;

/** Splits a stream of server-sent events, so that only complete events are forwarded. */
final class ServerSentEventScanner {
    private static final String ID_FIELD = "id:";

    private final ByteBuf buffer;
    private String lastId;
    private String pendingId = "";
    private long eventCount;

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
        int searchFrom = buffer.readerIndex();
        buffer.writeBytes(bytes);
        int end = searchFrom;
        int lineStart = searchFrom;
        boolean blankLine = true;
        int eventStart = searchFrom;
        for (int i = searchFrom; i < buffer.writerIndex(); i++) {
            byte character = buffer.getByte(i);
            if (character != '\n') {
                blankLine &= character == '\r';
                continue;
            }
            if (blankLine && i > eventStart) {
                end = i + 1;
                eventStart = end;
                completeEvent();
            } else if (!blankLine) {
                parseLine(lineStart, i);
            }
            lineStart = i + 1;
            blankLine = true;
        }
        ByteBuf completeEvents = buffer.readBytes(end - searchFrom);
        buffer.discardSomeReadBytes();
        return completeEvents;
    }

    private void completeEvent() {
        eventCount++;
        if (!pendingId.isEmpty()) {
            lastId = pendingId;
            pendingId = "";
        }
    }

    private void parseLine(int start, int end) {
        int length = end - start;
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

    /** Discards the incomplete event, after the stream of its upstream was interrupted. */
    void discardPartialEvent() {
        buffer.clear();
        pendingId = "";
    }

    void release() {
        buffer.release();
    }
}
