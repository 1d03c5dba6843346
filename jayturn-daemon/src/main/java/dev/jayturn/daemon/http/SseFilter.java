package dev.jayturn.daemon.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Splits an upstream's event stream into events and drops those that belong to other requests. */
final class SseFilter {
    private static final int MAX_EVENT_BYTES = 1 << 20;
    private static final byte[] DONE_EVENT_PREFIX = utf8("data: [DONE]");
    private static final byte[] USAGE_FIELD = utf8("\"usage\":{");
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int DATA_PREFIX_BYTES = "data: ".length();

    private final ByteBuf ownIdField;
    private final ByteBuf pending = Unpooled.buffer();
    private int tokenEvents;

    /** Number of events that belong to other requests. */
    private int misdirectedEvents;

    private long totalTokens = -1;
    private boolean done;

    SseFilter(String intentId) {
        ownIdField = Unpooled.wrappedBuffer(utf8("\"id\":\"" + intentId + "\""));
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Appends received bytes and returns the complete events to relay. Releases {@code content};
     * the returned buffer must be released by its receiver.
     */
    ByteBuf filter(ByteBuf content) {
        pending.writeBytes(content);
        content.release();
        ByteBuf accepted = Unpooled.buffer(pending.readableBytes());
        int end = endOfEvent();
        while (end > 0) {
            ByteBuf event = pending.readSlice(end - pending.readerIndex());
            if (acceptEvent(event)) {
                accepted.writeBytes(event);
            }
            end = endOfEvent();
        }
        pending.discardReadBytes();
        return accepted;
    }

    /** Returns whether an incomplete event exceeds the size limit. */
    boolean isOverflowing() {
        return pending.readableBytes() > MAX_EVENT_BYTES;
    }

    /** Returns the index after the first complete pending event, or -1 if there is none. */
    private int endOfEvent() {
        int from = pending.readerIndex();
        while (true) {
            int newline = pending.indexOf(from, pending.writerIndex(), (byte) '\n');
            if (newline < 0 || newline + 1 >= pending.writerIndex()) {
                return -1;
            }
            if (pending.getByte(newline + 1) == '\n') {
                return newline + 2;
            }
            from = newline + 1;
        }
    }

    /** Counts an event by its kind; returns false if it belongs to another request. */
    private boolean acceptEvent(ByteBuf event) {
        if (startsWith(event, DONE_EVENT_PREFIX)) {
            done = true;
            return true;
        }
        if (ByteBufUtil.indexOf(ownIdField, event) < 0) {
            misdirectedEvents++;
            return false;
        }
        int usage = ByteBufUtil.indexOf(Unpooled.wrappedBuffer(USAGE_FIELD), event);
        if (usage >= 0) {
            readUsage(event);
        } else {
            tokenEvents++;
        }
        return true;
    }

    private static boolean startsWith(ByteBuf event, byte[] prefix) {
        return event.readableBytes() >= prefix.length
                && ByteBufUtil.equals(
                        event,
                        event.readerIndex(),
                        Unpooled.wrappedBuffer(prefix),
                        0,
                        prefix.length);
    }

    private void readUsage(ByteBuf event) {
        byte[] json = new byte[event.readableBytes() - DATA_PREFIX_BYTES];
        event.getBytes(event.readerIndex() + DATA_PREFIX_BYTES, json);
        try {
            JsonNode node = MAPPER.readTree(json);
            totalTokens = node.path("usage").path("total_tokens").asLong(totalTokens);
        } catch (IOException e) {
            // Without a readable usage field, the counted token events are billed.
            totalTokens = -1;
        }
    }

    /** Discards the incomplete event at the end of a broken connection. */
    void discardPartialEvent() {
        pending.clear();
    }

    /** Returns the number of accepted events without a usage field, one token each. */
    int tokenEvents() {
        return tokenEvents;
    }

    /** Returns the number of events of other requests since the last invocation. */
    int takeMisdirectedEvents() {
        int count = misdirectedEvents;
        misdirectedEvents = 0;
        return count;
    }

    /** Returns whether the {@code [DONE]} event was received. */
    boolean isDone() {
        return done;
    }

    /** Returns the upstream's total token count, or the number of token events if it sent none. */
    long tokens() {
        return totalTokens >= 0 ? totalTokens : tokenEvents;
    }
}
