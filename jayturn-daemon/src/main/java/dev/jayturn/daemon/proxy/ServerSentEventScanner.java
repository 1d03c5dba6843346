package dev.jayturn.daemon.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;

/** Splits a stream of server-sent events, so that only whole ones are passed on. */
final class ServerSentEventScanner {
    private static final String ID_FIELD = "id:";

    private final ByteBuf pending;
    private String lastId;
    private String pendingId = "";
    private long eventCount;

    ServerSentEventScanner(ByteBufAllocator allocator, String lastId) {
        this.pending = allocator.heapBuffer();
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
        int searchFrom = pending.readerIndex();
        pending.writeBytes(bytes);
        int end = searchFrom;
        int lineStart = searchFrom;
        boolean blankLine = true;
        int eventStart = searchFrom;
        for (int i = searchFrom; i < pending.writerIndex(); i++) {
            byte c = pending.getByte(i);
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
        ByteBuf whole = pending.readBytes(end - searchFrom);
        pending.discardSomeReadBytes();
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
            String line = pending.toString(start, length, StandardCharsets.UTF_8);
            if (line.startsWith(ID_FIELD)) {
                pendingId = line.substring(ID_FIELD.length()).trim();
            }
        }
    }

    /** Returns whether part of an event is held. */
    boolean hasPartialEvent() {
        return pending.isReadable();
    }

    /** Lets go of an event that its upstream did not finish. */
    void discardPartialEvent() {
        pending.clear();
        pendingId = "";
    }

    void release() {
        pending.release();
    }
}
