package dev.jayturn.core.budget;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map that evicts its oldest entry when it is full. */
final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1L;

    private final int capacity;

    BoundedMap(int capacity) {
        this.capacity = capacity;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > capacity;
    }
}
