package dev.jayturn.daemon.proxy;

import com.google.common.base.Splitter;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Headers that concern one connection only (RFC 9110, section 7.6.1). */
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

    /** Copies all headers that are meant for the other end. */
    public static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
        Set<String> named = new HashSet<>();
        List<String> connection = from.getAll(HttpHeaderNames.CONNECTION);
        for (String value : connection) {
            for (String name : COMMA_SPLITTER.split(value)) {
                named.add(name.toLowerCase(Locale.ROOT));
            }
        }
        for (Map.Entry<String, String> header : from) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !named.contains(name)) {
                to.add(header.getKey(), header.getValue());
            }
        }
    }
}
