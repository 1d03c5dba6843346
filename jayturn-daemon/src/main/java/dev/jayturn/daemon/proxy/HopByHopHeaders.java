package dev.jayturn.daemon.proxy;

import com.google.common.base.Splitter;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Headers that apply to a single connection only (RFC 9110, section 7.6.1). */
public final class HopByHopHeaders {
    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "expect");
    private static final Splitter COMMA_SPLITTER =
            Splitter.on(',').trimResults().omitEmptyStrings();

    private HopByHopHeaders() {}

    /** Copies all end-to-end headers. */
    public static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
        Set<String> connectionOptions = new HashSet<>();
        List<String> connection = from.getAll(HttpHeaderNames.CONNECTION);
        for (String value : connection) {
            for (String name : COMMA_SPLITTER.split(value)) {
                connectionOptions.add(name.toLowerCase(Locale.ROOT));
            }
        }
        for (Map.Entry<String, String> header : from) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !connectionOptions.contains(name)) {
                to.add(header.getKey(), header.getValue());
            }
        }
    }

    /** Returns a response head for the next connection; without a length, the body is chunked. */
    static HttpResponse endToEndCopy(HttpResponse head) {
        HttpResponse copy = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status());
        copyEndToEnd(head.headers(), copy.headers());
        if (!copy.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            HttpUtil.setTransferEncodingChunked(copy, true);
        }
        return copy;
    }
}
