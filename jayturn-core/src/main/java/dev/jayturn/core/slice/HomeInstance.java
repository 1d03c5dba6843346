package dev.jayturn.core.slice;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;

/**
 * Selects the home instance of a customer in a data centre: the entry instance that holds the data
 * centre's slice of the customer's budget. The other instances of the data centre ask it for
 * tokens, which takes about a millisecond. Budgets are therefore split among data centres and not
 * among instances, each of which serves only few of a customer's requests. All instances that know
 * the same addresses select the same home without communicating (rendezvous hashing).
 */
public final class HomeInstance {
    private HomeInstance() {}

    /**
     * Returns the address of a customer's home instance.
     *
     * @param addresses link addresses of the live entry instances of one data centre
     * @return one of the addresses, or an empty string if there are none
     */
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
