package dev.jayturn.daemon.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;

/** Splits a stream of server-sent events, so that only whole ones are passed on. */
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

    /** Returns the id of the last whole event; empty if there was none. */
    String lastId() {
        return lastId;
    }

    /** Returns the number of whole events. */
    long eventCount() {
        return eventCount;
    }

    /** Takes bytes and returns the whole events that they complete, perhaps none. */
    ByteBuf scan(ByteBuf bytes) {
        int searchFrom = buffer.readerIndex();
        buffer.writeBytes(bytes);
        int end = searchFrom;
        int lineStart = searchFrom;
        boolean blankLine = true;
        int eventStart = searchFrom;
        for (int i = searchFrom; i < buffer.writerIndex(); i++) {
            byte c = buffer.getByte(i);
            if (c != '\n') {
                blankLine &= c == '\r';
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
        ByteBuf whole = buffer.readBytes(end - searchFrom);
        buffer.discardSomeReadBytes();
        return whole;
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

    /** Returns whether part of an event is held. */
    boolean hasPartialEvent() {
        return buffer.isReadable();
    }

    /** Lets go of an event that its upstream did not finish. */
    void discardPartialEvent() {
        buffer.clear();
        pendingId = "";
    }

    void release() {
        buffer.release();
    }
}
