package dev.jayturn.daemon.upstream;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Predicate;

/**
 * Looks in the body of a response for the head of another one: an upstream that breaks off may go
 * on with a whole response, which would count as a part of the body. A head is a status line at any
 * offset, followed by header lines of which one has the id of a request that the connection has
 * carried. A body may quote other heads, and this one in another form, such as escaped text.
 *
 * <p>The body may be given in parts of any size.
 */
public final class EmbeddedHeadScanner {
    /** In the pattern, stands for any digit. */
    private static final char DIGIT = 'D';

    private static final String STATUS_LINE = "HTTP/1.D DDD";
    private static final int MAX_LINE_BYTES = 8 * 1_024;

    /** Shorter beginnings of a status line are too common at the end of a body. */
    private static final int MIN_OPEN_BYTES = 4;

    private final String idHeader;
    private final Predicate<String> isCarried;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    /** Number of bytes of a status line that were matched up to the current position. */
    private int matched;

    private State state = State.OUTSIDE;
    private boolean bodyEnded;

    private enum State {
        OUTSIDE,
        STATUS_LINE,
        HEADERS,
        FOUND
    }

    /**
     * Creates the scanner of one body.
     *
     * @param idHeader the name of the header with the id of the request
     * @param isCarried whether a request with an id was sent on the connection
     */
    public EmbeddedHeadScanner(String idHeader, Predicate<String> isCarried) {
        this.idHeader = idHeader;
        this.isCarried = isCarried;
    }

    /** Returns whether what was scanned so far may end inside a head. */
    public boolean isOpen() {
        return state != State.OUTSIDE || matched >= MIN_OPEN_BYTES;
    }

    /**
     * Scans bytes behind the end of the body, without consuming them; returns whether they complete
     * a head that begins in the body. One that begins behind it does not concern the body.
     */
    public boolean scanBehindBody(ByteBuf bytes) {
        bodyEnded = true;
        return (state != State.OUTSIDE || matched > 0) && scan(bytes);
    }

    /** Scans the next bytes, without consuming them; returns whether a head was found. */
    public boolean scan(ByteBuf bytes) {
        int end = bytes.writerIndex();
        int i = bytes.readerIndex();
        while (i < end && state != State.FOUND) {
            if (state == State.OUTSIDE && matched == 0) {
                if (bodyEnded) {
                    return false;
                }
                i = bytes.indexOf(i, end, (byte) STATUS_LINE.charAt(0));
                if (i < 0) {
                    return false;
                }
            }
            next(bytes.getByte(i++));
        }
        return state == State.FOUND;
    }

    private void next(byte value) {
        match(value);
        if (matched == STATUS_LINE.length()) {
            matched = 0;
            state = State.STATUS_LINE;
            line.reset();
        } else if (state != State.OUTSIDE) {
            addToLine(value);
        }
    }

    private void match(byte value) {
        if (bodyEnded && matched == 0) {
            return;
        }
        char expected = STATUS_LINE.charAt(matched);
        boolean matches = expected == DIGIT ? value >= '0' && value <= '9' : value == expected;
        if (matches) {
            matched++;
        } else {
            // Only the first character of the pattern can start another match.
            matched = value == STATUS_LINE.charAt(0) && !bodyEnded ? 1 : 0;
        }
    }

    private void addToLine(byte value) {
        line.write(value);
        if (value == '\n') {
            state = stateAfter(line.toString(StandardCharsets.ISO_8859_1));
            line.reset();
        } else if (line.size() > MAX_LINE_BYTES) {
            state = State.OUTSIDE;
            line.reset();
        }
    }

    private State stateAfter(String text) {
        if (!text.endsWith("\r\n")) {
            return State.OUTSIDE;
        }
        if (state == State.STATUS_LINE) {
            return State.HEADERS;
        }
        int colon = text.indexOf(':');
        if (colon <= 0) {
            return State.OUTSIDE;
        }
        boolean hasId = text.substring(0, colon).equalsIgnoreCase(idHeader);
        return hasId && isCarried.test(text.substring(colon + 1).trim())
                ? State.FOUND
                : State.HEADERS;
    }
}
