package dev.jayturn.daemon.upstream;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Checks the head of a response that was decoded, so that none is forwarded that consists of parts
 * of two, or whose body could not be delimited.
 */
public final class ResponseHeadCheck {
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.\\d \\d{3}");
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;

    private ResponseHeadCheck() {}

    /** Returns the fault of a head; {@link ResponseFault#NONE} if it is well-formed. */
    public static ResponseFault check(HttpResponse response) {
        HttpHeaders headers = response.headers();
        if (containsStatusLine(response.status().reasonPhrase()) || isMerged(headers)) {
            return ResponseFault.MERGED_HEAD;
        }
        HttpVersion version = response.protocolVersion();
        if (!version.protocolName().equals("HTTP") || version.majorVersion() != 1) {
            return ResponseFault.WRONG_VERSION;
        }
        int status = response.status().code();
        // No request asks for another protocol.
        if (status < MIN_STATUS
                || status > MAX_STATUS
                || status == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
            return ResponseFault.WRONG_STATUS;
        }
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean onlyChunked =
                codings.size() == 1
                        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).trim());
        return codings.isEmpty() || onlyChunked ? ResponseFault.NONE : ResponseFault.UNKNOWN_CODING;
    }

    /** Returns whether a value of some header holds the status line of another response. */
    public static boolean isMerged(HttpHeaders headers) {
        for (Map.Entry<String, String> header : headers) {
            if (containsStatusLine(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean containsStatusLine(String text) {
        return text.contains("HTTP/1.") && STATUS_LINE.matcher(text).find();
    }
}
