package dev.jayturn.daemon.head;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Map;

/**
 * A request whose header lines are kept as one text. Decoded lines occupy many times their length,
 * which matters for a request that runs for long and has very many of them.
 */
final class EncodedHead extends DefaultHttpRequest {
    private final String lines;

    private EncodedHead(HttpRequest request, String lines) {
        super(
                request.protocolVersion(),
                request.method(),
                request.uri(),
                EmptyHttpHeaders.INSTANCE);
        this.lines = lines;
    }

    /** Returns a request with the headers that another one has now. */
    static EncodedHead of(HttpRequest request) {
        StringBuilder lines = new StringBuilder();
        for (Map.Entry<String, String> header : request.headers()) {
            // A received name has no colon, and a received value no line feed.
            lines.append(header.getKey()).append(':').append(header.getValue()).append('\n');
        }
        return new EncodedHead(request, lines.toString());
    }

    /** Returns the number of bytes that the head occupies, of characters of one byte each. */
    int occupiedBytes() {
        return uri().length() + lines.length();
    }

    /** Returns the headers, decoded anew; a change of them does not change the request. */
    @Override
    public HttpHeaders headers() {
        HttpHeaders headers = new DefaultHttpHeaders(false);
        int start = 0;
        while (start < lines.length()) {
            int colon = lines.indexOf(':', start);
            int end = lines.indexOf('\n', colon);
            headers.add(lines.substring(start, colon), lines.substring(colon + 1, end));
            start = end + 1;
        }
        return headers;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof EncodedHead head && super.equals(other) && lines.equals(head.lines);
    }

    @Override
    public int hashCode() {
        return 31 * super.hashCode() + lines.hashCode();
    }
}
