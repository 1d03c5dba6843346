package dev.jayturn.core.fleet;

/**
 * A live entry instance.
 *
 * @param address link address of the instance, the name to which other instances send messages for
 *     it
 * @param holder incarnation of the instance, as the holder of slices
 */
public record Peer(String address, String dataCentre, String holder) {}
