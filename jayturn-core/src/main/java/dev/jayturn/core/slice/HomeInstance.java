package dev.jayturn.core.slice;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;

/**
 * Names the entry instance of a data centre that keeps its slice of a customer's budget; the others
 * there ask it, a millisecond away. So a budget is split by data centres, not by instances, each of
 * which sees few of a customer's requests. All agree without talking (rendezvous hashing).
 */
public final class HomeInstance {
    private HomeInstance() {}

    /** Returns one of the link addresses of a data centre's live instances; empty if none is. */
    public static String of(String customer, Collection<String> addresses) {
        String home = "";
        long highest = Long.MIN_VALUE;
        for (String address : addresses) {
            long weight =
                    Hashing.murmur3_128()
                            .newHasher()
                            .putString(customer, StandardCharsets.UTF_8)
                            .putString(address, StandardCharsets.UTF_8)
                            .hash()
                            .asLong();
            if (weight > highest) {
                highest = weight;
                home = address;
            }
        }
        return home;
    }
}
