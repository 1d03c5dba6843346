package dev.jayturn.daemon.proxy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Requests that wait for something scarce; all of them retry whenever some may have arrived, those
 * of lower ranks first.
 */
final class RetryQueue {
    /** The ranks by request, in the order of arrival. */
    private final Map<Runnable, Integer> waitingRequests = new LinkedHashMap<>();

    void add(Runnable retry, int rank) {
        waitingRequests.put(retry, rank);
    }

    /** Removes a request that no longer waits; otherwise it would stay until the next retry. */
    void remove(Runnable retry) {
        waitingRequests.remove(retry);
    }

    /** Returns the number of requests that wait. */
    int size() {
        return waitingRequests.size();
    }

    void retryAll() {
        List<Map.Entry<Runnable, Integer>> retries = new ArrayList<>(waitingRequests.entrySet());
        waitingRequests.clear();
        retries.sort(Comparator.comparing(Map.Entry::getValue));
        retries.forEach(entry -> entry.getKey().run());
    }
}
