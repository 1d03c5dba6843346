package dev.jayturn.core.fleet;

/**
 * A live entry instance.
 *
 * @param address link address of the instance: the IP address and port at which other instances
 *     connect to it
 * @param holder incarnation of the instance, as the holder of slices
 */
public record Peer(String address, String dataCentre, String holder) {}
