package dev.jayturn.core.fleet;

/**
 * A live entry instance.
 *
 * @param address link address of the instance
 * @param holder incarnation of the instance, as the holder of slices
 */
public record Peer(String address, String dataCentre, String holder) {}
