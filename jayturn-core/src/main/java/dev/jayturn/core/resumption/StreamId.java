package dev.jayturn.core.resumption;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Identifies a stream by its customer and by the id of the request whose response brought the first
 * event. A caller can therefore only name streams of its own customer.
 */
public final class StreamId {
    private StreamId() {}

    /**
     * Returns the id of a stream.
     *
     * @param customer name of the customer; empty for routes that need no key
     */
    public static long of(String customer, String requestId) {
        return Hashing.sha256()
                .newHasher()
                .putInt(customer.length())
                .putString(customer, StandardCharsets.UTF_8)
                .putString(requestId, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
