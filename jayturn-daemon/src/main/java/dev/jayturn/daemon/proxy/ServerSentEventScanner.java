package dev.jayturn.daemon.proxy;

import dev.jayturn.core.resumption.StreamContinuation;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.Set;

/**
 * Splits a stream of server-sent events, so that only complete events are forwarded. Lines that are
 * not those of an event, such as the head or the body of an error response, are malformed, and so
 * is an event that cannot follow the ones before if another upstream goes on with the stream.
 */
final class ServerSentEventScanner {
    private static final String ID_FIELD = "id";
    private static final Set<String> FIELDS = Set.of(ID_FIELD, "data", "event", "retry");

    /** Longer names of fields are not compared. */
    private static final int MAX_FIELD_NAME_BYTES = 64;

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

    /** Whether all lines of the incomplete event so far are comments. */
    private boolean onlyComments = true;

    /** Whether a line of the incomplete event has a field that every event stream may have. */
    private boolean knownField;

    /** Whether the next event has to follow the last one of another response. */
    private boolean continuing;

    private boolean malformed;

    /** Whether there was an event before the first one with an id. */
    private boolean startsWithoutId;

    ServerSentEventScanner(ByteBufAllocator allocator, String lastId) {
        this.buffer = allocator.heapBuffer();
        this.lastId = lastId;
        this.continuing = !lastId.isEmpty();
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
            } else if (insideEvent) {
                completeEvent();
            }
            if (malformed) {
                break;
            }
            if (blankLine) {
                // One outside an event is passed on as it is.
                completeBytes = offset + 1;
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
        boolean follows = onlyComments || StreamContinuation.acceptsEvent(lastId, pendingId);
        malformed = !(onlyComments || knownField) || (continuing && !follows);
        if (malformed) {
            return;
        }
        continuing &= onlyComments;
        eventCount++;
        if (!pendingId.isEmpty()) {
            lastId = pendingId;
        }
        startsWithoutId |= !onlyComments && lastId.isEmpty();
        startEvent();
    }

    private void startEvent() {
        insideEvent = false;
        onlyComments = true;
        knownField = false;
        pendingId = "";
    }

    private void parseLine(int start, int length) {
        int colon = buffer.indexOf(start, start + length, (byte) ':');
        if (colon == start) {
            return;
        }
        onlyComments = false;
        int end = colon >= 0 ? colon : endOfText(start, start + length);
        String name = fieldName(start, end);
        boolean known = FIELDS.contains(name);
        knownField |= known;
        // Events may have further fields, which always have a value.
        malformed |= name.isEmpty() || (colon < 0 && !known);
        if (colon >= 0 && name.equals(ID_FIELD)) {
            int valueStart = colon + 1;
            pendingId =
                    buffer.toString(valueStart, start + length - valueStart, StandardCharsets.UTF_8)
                            .trim();
        }
    }

    private int endOfText(int start, int end) {
        return end > start && buffer.getByte(end - 1) == '\r' ? end - 1 : end;
    }

    /** Returns the name of a field; empty if these bytes cannot be one. */
    private String fieldName(int start, int end) {
        if (end - start > MAX_FIELD_NAME_BYTES) {
            return "";
        }
        for (int i = start; i < end; i++) {
            byte character = buffer.getByte(i);
            if (!Character.isLetterOrDigit(character) && character != '-' && character != '_') {
                return "";
            }
        }
        return buffer.toString(start, end - start, StandardCharsets.US_ASCII);
    }

    /** Called when another response begins that has to go on after the last event. */
    void startContinuation() {
        discardPartialEvent();
        continuing = !lastId.isEmpty();
    }

    /** Returns whether another upstream can be told where to go on. */
    boolean canBeContinued() {
        return !startsWithoutId;
    }

    /** Returns whether the bytes behind the complete events are not those of an event. */
    boolean isMalformed() {
        return malformed;
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
        scannedBytes = 0;
        lineOffset = 0;
        blankLine = true;
        malformed = false;
        startEvent();
    }

    void release() {
        buffer.release();
    }
}
