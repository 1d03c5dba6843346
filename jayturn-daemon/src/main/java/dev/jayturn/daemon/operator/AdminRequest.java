package dev.jayturn.daemon.operator;

import com.google.common.base.Splitter;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;

/** An HTTP request of an operator or an announcing upstream. */
public record AdminRequest(String method, String uri, String authorization, String body) {
    String path() {
        int queryStart = uri.indexOf('?');
        return queryStart < 0 ? uri : uri.substring(0, queryStart);
    }

    /** Returns the segments of the path, decoded. */
    List<String> pathSegments() {
        List<String> encoded = Splitter.on('/').omitEmptyStrings().splitToList(path());
        return encoded.stream()
                .map(segment -> URLDecoder.decode(segment, StandardCharsets.UTF_8))
                .toList();
    }

    /** Returns a parameter of the query, decoded; empty if it is absent. */
    String queryParameter(String name) {
        int queryStart = uri.indexOf('?');
        if (queryStart < 0) {
            return "";
        }
        for (String pair : Splitter.on('&').split(uri.substring(queryStart + 1))) {
            if (pair.startsWith(name + "=")) {
                return URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
            }
        }
        return "";
    }

    /** Returns whether the bearer token is correct; always if the expected token is empty. */
    boolean isAuthorized(String token) {
        byte[] expected = ("Bearer " + token).getBytes(StandardCharsets.UTF_8);
        byte[] actual = authorization.getBytes(StandardCharsets.UTF_8);
        return token.isEmpty() || MessageDigest.isEqual(expected, actual);
    }
}
