package dev.jayturn.daemon.proxy;

import java.util.Arrays;

/**
 * The ids of the requests that one connection has carried. A connection carries no id twice,
 * because a late response to the first request could not be told from that to the second. Only
 * hashes are kept: an id that shares its hash with another one merely needs another connection.
 */
final class CarriedIds {
    /** Bounds the memory; the connection is replaced after this many requests. */
    private static final int MAX_IDS = 1_000;

    private static final int INITIAL_CAPACITY = 4;

    private int[] hashes = new int[INITIAL_CAPACITY];
    private int size;

    /** Returns whether a request with an id may be sent. */
    boolean admits(String id) {
        return size < MAX_IDS && !contains(id);
    }

    /** Returns whether a request with an id, or with one that shares its hash, was sent. */
    boolean contains(String id) {
        int hash = id.hashCode();
        for (int i = 0; i < size; i++) {
            if (hashes[i] == hash) {
                return true;
            }
        }
        return false;
    }

    void add(String id) {
        if (size == hashes.length) {
            hashes = Arrays.copyOf(hashes, 2 * size);
        }
        hashes[size++] = id.hashCode();
    }

    int size() {
        return size;
    }
}
