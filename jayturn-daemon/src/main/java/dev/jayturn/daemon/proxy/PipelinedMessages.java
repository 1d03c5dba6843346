package dev.jayturn.daemon.proxy;

import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;

/** Decoded messages of a caller that wait until the request before them has ended. */
final class PipelinedMessages {
    /** Number of messages above which reading stops. */
    private static final int MAX_MESSAGES = 64;

    /** Bytes of bodies above which reading stops. */
    private static final int MAX_BYTES = 32 * 1_024;

    private final Deque<Object> messages = new ArrayDeque<>();
    private int bytes;

    void add(Object message) {
        messages.add(message);
        bytes += BodyParts.bytesOf(message);
    }

    void addFirst(Object message) {
        messages.addFirst(message);
        bytes += BodyParts.bytesOf(message);
    }

    Object remove() {
        Object message = messages.remove();
        bytes -= BodyParts.bytesOf(message);
        return message;
    }

    boolean isEmpty() {
        return messages.isEmpty();
    }

    /** Returns whether reading has to stop. */
    boolean isFull() {
        return messages.size() > MAX_MESSAGES || bytes > MAX_BYTES;
    }

    /** Releases all messages. */
    void discard() {
        messages.forEach(ReferenceCountUtil::release);
        messages.clear();
        bytes = 0;
    }
}
