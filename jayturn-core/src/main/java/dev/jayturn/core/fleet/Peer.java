package dev.jayturn.core.fleet;

/** A live entry instance by its link address. */
public record Peer(String address, String dataCentre) {}
