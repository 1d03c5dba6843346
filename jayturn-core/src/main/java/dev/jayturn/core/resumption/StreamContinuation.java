package dev.jayturn.core.resumption;

import java.util.Locale;

/**
 * What a response has to be in order to go on with a stream of which the caller has some events.
 * Answers an upstream that breaks off in the middle of a stream, and one after it that responds
 * with an error, with nothing, or from the beginning: such a response is a failed attempt, and none
 * of its bytes belong to the stream.
 */
public final class StreamContinuation {
    private static final int OK = 200;
    private static final String EVENT_STREAM = "text/event-stream";

    /** Longer numbers do not fit into the type that they are compared in. */
    private static final int MAX_DIGITS = 18;

    private StreamContinuation() {}

    /**
     * Returns whether the head of a response can go on with a stream.
     *
     * @param contentType value of the header, empty if there is none
     */
    public static boolean acceptsHead(int status, String contentType) {
        String mediaType = contentType.split(";", 2)[0].trim().toLowerCase(Locale.ROOT);
        return status == OK && (mediaType.isEmpty() || mediaType.equals(EVENT_STREAM));
    }

    /**
     * Returns whether an event can be the first one after another.
     *
     * @param lastId id of the event before
     * @param id id of the event; empty if it has none
     */
    public static boolean acceptsEvent(String lastId, String id) {
        if (id.isEmpty() || id.equals(lastId)) {
            return false;
        }
        return !isNumber(lastId) || !isNumber(id) || Long.parseLong(id) > Long.parseLong(lastId);
    }

    /**
     * Returns whether a response can be the rest of a stream. One without events is, if it says
     * where it ends: the stream may have broken off right behind its last event.
     *
     * @param events number of its events
     * @param chunked whether a last chunk has ended it
     */
    public static boolean acceptsEnd(long events, boolean chunked) {
        return events > 0 || chunked;
    }

    private static boolean isNumber(String id) {
        return !id.isEmpty()
                && id.length() <= MAX_DIGITS
                && id.chars().allMatch(digit -> digit >= '0' && digit <= '9');
    }
}
