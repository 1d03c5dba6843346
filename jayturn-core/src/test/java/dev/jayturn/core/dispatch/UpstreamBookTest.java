package dev.jayturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.directory.UpstreamState;
import org.junit.jupiter.api.Test;

final class UpstreamBookTest {
    private final UpstreamBook book = new UpstreamBook(service -> 1_000);

    private static Heartbeat beat(
            String id, String service, long incarnation, UpstreamState state) {
        return new Heartbeat(id, service, "10.0.0.1:80", "a", 4, state, incarnation, 1);
    }

    @Test
    void anUpstreamThatDrainsGetsNoNewWork() {
        book.accept(beat("u1", "press", 1, UpstreamState.READY));
        assertThat(book.ofService("press")).hasSize(1);
        assertThat(book.accept(beat("u1", "press", 1, UpstreamState.DRAINING))).isNotNull();
        assertThat(book.ofService("press")).isEmpty();
    }

    @Test
    void anAddressBelongsToTheLatestLifeAtIt() {
        book.accept(beat("u1", "press", 1, UpstreamState.READY));
        book.accept(beat("u2", "scale", 2, UpstreamState.READY));
        assertThat(book.ofService("press")).isEmpty();
        assertThat(book.ofService("scale")).hasSize(1);
    }

    @Test
    void aHeartbeatDelayedBeyondTheDeathOfItsSenderNamesNobody() {
        book.accept(beat("u2", "scale", 2, UpstreamState.READY));
        book.accept(beat("u1", "press", 1, UpstreamState.READY));
        assertThat(book.ofService("press")).isEmpty();
    }

    @Test
    void aNewLifeUnderTheSameIdForgetsWhatWasLearnt() {
        book.accept(beat("u1", "press", 1, UpstreamState.READY));
        book.ofService("press").get(0).failed();
        book.accept(beat("u1", "press", 2, UpstreamState.READY));
        assertThat(book.ofService("press").get(0).failureShare()).isZero();
    }
}
