package dev.jayturn.core.evacuation;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.dispatch.Dispatcher;
import dev.jayturn.core.dispatch.RequestProfile;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class EvacuationViewTest {
    private static final Dispatcher.Query QUERY =
            new Dispatcher.Query("s", RequestProfile.PLAIN, null, Set.of(), 1_000, 0);

    private final EvacuationView view = new EvacuationView();

    @Test
    void controlInstanceThatLagsDoesNotRevertTheSet() {
        view.onUpdate(7, List.of("a"));
        view.onUpdate(5, List.of());
        assertThat(view.isEmptied("a")).isTrue();
        view.onUpdate(9, List.of("b"));
        assertThat(view.isEmptied("a")).isFalse();
        assertThat(view.isEmptied("b")).isTrue();
    }

    @Test
    void updateOfAnInstanceThatDoesNotSendTheSetChangesNothing() {
        view.onUpdate(7, List.of("a"));
        view.onUpdate(0, null);
        view.onUpdate(8, null);
        assertThat(view.isEmptied("a")).isTrue();
        assertThat(view.revision()).isEqualTo(7);
    }

    @Test
    void listenerLearnsOfChangesOnly() {
        List<List<String>> sets = new ArrayList<>();
        view.setListener((revision, emptied) -> sets.add(emptied));
        view.onUpdate(7, List.of("a"));
        view.onUpdate(8, List.of("a"));
        view.onUpdate(9, List.of());
        assertThat(sets).containsExactly(List.of("a"), List.of());
    }

    @Test
    void viewOfNoEmptiedDataCentreRestrictsNothing() {
        assertThat(view.isRestrictive(QUERY)).isFalse();
        view.onUpdate(7, List.of("a"));
        assertThat(view.isRestrictive(QUERY)).isTrue();
        view.onUpdate(9, List.of());
        assertThat(view.isRestrictive(QUERY)).isFalse();
    }
}
