package dev.jayturn.daemon.proxy;

import dev.jayturn.core.resumption.StreamOrigin;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * How far the stream of one request has got, over all attempts: the last complete event, and the
 * software that began it. Before the head of a stream was sent to the caller nothing has begun.
 */
final class StreamProgress {
    private final String resumedEventId;
    private final Consumer<StreamOrigin> originListener;
    private @Nullable ServerSentEventScanner scanner;
    private @Nullable StreamOrigin origin;

    /**
     * Creates the progress of a stream that has not begun.
     *
     * @param resumedEventId id of the event after which the caller resumes a stream; empty for a
     *     new stream
     * @param originListener called with the first event, and if the origin becomes unknown later
     */
    StreamProgress(String resumedEventId, Consumer<StreamOrigin> originListener) {
        this.resumedEventId = resumedEventId;
        this.originListener = originListener;
    }

    /** Returns whether the caller resumes a stream. */
    boolean isResumed() {
        return !resumedEventId.isEmpty();
    }

    /** Sets the origin of a stream that the caller resumes. */
    void setOrigin(StreamOrigin resumedOrigin) {
        origin = resumedOrigin;
    }

    void begin(ByteBufAllocator allocator) {
        scanner = new ServerSentEventScanner(allocator, resumedEventId);
    }

    boolean hasBegun() {
        return scanner != null;
    }

    /** Returns whether the next response has to go on with a stream of which there are events. */
    boolean isContinuation() {
        return isResumed() || eventCount() > 0;
    }

    /** Returns whether another upstream can be told where to go on. */
    boolean canBeContinued() {
        ServerSentEventScanner current = scanner;
        return current == null || current.canBeContinued();
    }

    /** Called when another response begins that goes on with the stream. */
    void startContinuation() {
        ServerSentEventScanner current = scanner;
        if (current != null) {
            current.startContinuation();
        }
    }

    /** Returns whether the stream so far ends with an incomplete event. */
    boolean hasPartialEvent() {
        ServerSentEventScanner current = scanner;
        return current != null && current.hasPartialEvent();
    }

    /** Discards the incomplete event, after the stream of its upstream was interrupted. */
    void discardPartialEvent() {
        ServerSentEventScanner current = scanner;
        if (current != null) {
            current.discardPartialEvent();
        }
    }

    /** Returns whether the bytes behind the complete events are none of an event, or too many. */
    boolean isMalformed() {
        ServerSentEventScanner current = scanner;
        return current != null && (current.isMalformed() || current.isEventTooLong());
    }

    /** Returns the number of complete events. */
    long eventCount() {
        ServerSentEventScanner current = scanner;
        return current == null ? 0 : current.eventCount();
    }

    /** Returns the id of the event after which the next attempt goes on; empty at the beginning. */
    String lastEventId() {
        ServerSentEventScanner current = scanner;
        return current == null ? resumedEventId : current.lastId();
    }

    /**
     * Adds bytes of an attempt and returns the events that they complete, which may be none. Call
     * only after the stream has begun.
     */
    ByteBuf scan(Attempt source, ByteBuf bytes) {
        ServerSentEventScanner current = scanner;
        if (current == null) {
            throw new IllegalStateException("the stream has not begun");
        }
        long previousEvents = current.eventCount();
        ByteBuf completeEvents = current.scan(bytes);
        if (current.eventCount() > previousEvents) {
            StreamOrigin eventOrigin = source.eventOrigin();
            StreamOrigin known = origin;
            StreamOrigin merged = known == null ? eventOrigin : known.merge(eventOrigin);
            origin = merged;
            if (previousEvents == 0 || !merged.equals(known)) {
                originListener.accept(merged);
            }
        }
        return completeEvents;
    }

    /** Returns the software that began the stream; null as long as there was no event. */
    @Nullable StreamOrigin origin() {
        return origin;
    }

    void release() {
        ServerSentEventScanner current = scanner;
        if (current != null) {
            current.release();
        }
    }
}
