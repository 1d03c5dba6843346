package dev.jayturn.daemon.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class RetryQueueTest {
    private final RetryQueue queue = new RetryQueue();
    private final List<String> retried = new ArrayList<>();

    private Runnable request(String name) {
        return () -> retried.add(name);
    }

    @Test
    void requestsThatCostMoreRetryFirstWhateverTheirArrival() {
        queue.add(request("cheap"), 9);
        queue.add(request("dear"), 1);
        queue.add(request("middle"), 5);
        queue.retryAll();
        assertThat(retried).containsExactly("dear", "middle", "cheap");
    }

    @Test
    void requestsOfOneRankRetryInTheOrderOfArrival() {
        for (String name : List.of("first", "second", "third")) {
            queue.add(request(name), 3);
        }
        queue.retryAll();
        assertThat(retried).containsExactly("first", "second", "third");
    }

    @Test
    void requestThatWaitsAgainDuringTheRetriesWaitsForTheNextOnes() {
        Runnable again = () -> queue.add(request("again"), 0);
        queue.add(again, 0);
        queue.add(request("other"), 1);
        queue.retryAll();
        assertThat(retried).containsExactly("other");
        assertThat(queue.size()).isEqualTo(1);
    }
}
