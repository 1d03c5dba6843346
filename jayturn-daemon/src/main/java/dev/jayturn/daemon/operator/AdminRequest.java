package dev.jayturn.daemon.operator;

import com.google.common.base.Splitter;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;

/** An administrative request. */
public record AdminRequest(String method, String uri, String authorization, String body) {
    String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /** Returns the path's parts, decoded. */
    List<String> pathSegments() {
        List<String> raw = Splitter.on('/').omitEmptyStrings().splitToList(path());
        return raw.stream().map(part -> URLDecoder.decode(part, StandardCharsets.UTF_8)).toList();
    }

    /** Returns a parameter of the query; empty if it is absent. */
    String queryParameter(String name) {
        int query = uri.indexOf('?');
        if (query < 0) {
            return "";
        }
        for (String pair : Splitter.on('&').split(uri.substring(query + 1))) {
            if (pair.startsWith(name + "=")) {
                return URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
            }
        }
        return "";
    }

    boolean isAuthorized(String token) {
        byte[] expected = ("Bearer " + token).getBytes(StandardCharsets.UTF_8);
        byte[] actual = authorization.getBytes(StandardCharsets.UTF_8);
        return token.isEmpty() || MessageDigest.isEqual(expected, actual);
    }
}
