package dev.jayturn.core.fleet;

import java.util.List;

/**
 * A live entry instance.
 *
 * @param address link address of the instance: the IP address and port at which other instances
 *     connect to it
 * @param holder incarnation of the instance, as the holder of slices
 */
public record Peer(String address, String dataCentre, String holder) {
    /** Returns the addresses of instances, in their order. */
    static List<String> addresses(List<Peer> peers) {
        return peers.stream().map(Peer::address).toList();
    }
}
