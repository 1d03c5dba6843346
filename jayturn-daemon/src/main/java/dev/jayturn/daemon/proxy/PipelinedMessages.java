package dev.jayturn.daemon.proxy;

import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;

/** The few messages of a caller that were decoded when their connection began to wait. */
final class PipelinedMessages {
    private final Deque<Object> messages = new ArrayDeque<>();

    void add(Object message) {
        messages.add(message);
    }

    void addFirst(Object message) {
        messages.addFirst(message);
    }

    Object remove() {
        return messages.remove();
    }

    boolean isEmpty() {
        return messages.isEmpty();
    }

    /** Releases all messages. */
    void discard() {
        messages.forEach(ReferenceCountUtil::release);
        messages.clear();
    }
}
