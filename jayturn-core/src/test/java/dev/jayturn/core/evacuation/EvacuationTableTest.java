package dev.jayturn.core.evacuation;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class EvacuationTableTest {
    private static final String KOKURA = "kokura-1";

    private final EvacuationTable table = new EvacuationTable();
    private long index;

    private boolean apply(String dataCentre, boolean emptied, long revision) {
        return table.apply(++index, new EvacuationOrder(dataCentre, emptied, revision));
    }

    @Test
    void dataCentreIsEmptiedAndTakenBack() {
        assertThat(apply(KOKURA, true, 0)).isTrue();
        assertThat(table.emptied()).containsExactly(KOKURA);
        assertThat(apply(KOKURA, false, 1)).isTrue();
        assertThat(table.emptied()).isEmpty();
        assertThat(table.revision()).isEqualTo(2);
    }

    @Test
    void orderThatIsSentAgainIsAcknowledged() {
        assertThat(apply(KOKURA, true, 0)).isTrue();
        assertThat(apply(KOKURA, true, 0)).isTrue();
        assertThat(table.emptied()).containsExactly(KOKURA);
    }

    @Test
    void delayedCopyDoesNotUndoALaterOrder() {
        apply(KOKURA, true, 0);
        apply(KOKURA, false, 1);
        assertThat(apply(KOKURA, true, 0)).isFalse();
        assertThat(table.emptied()).isEmpty();
    }

    @Test
    void delayedOppositeOrderDoesNotUndoAnOrderThatIsSentAgain() {
        apply(KOKURA, true, 0);
        // The operator took the data centre back, got no answer and changed their mind.
        apply(KOKURA, true, 1);
        assertThat(apply(KOKURA, false, 1)).isFalse();
        assertThat(table.emptied()).containsExactly(KOKURA);
    }

    @Test
    void snapshotHoldsTheSetAndItsRevision() {
        apply(KOKURA, true, 0);
        apply("yahata-1", true, 1);
        EvacuationTable restored = new EvacuationTable();
        restored.restore((EvacuationStored) table.snapshot().get(0));
        assertThat(restored.emptied()).containsExactly(KOKURA, "yahata-1");
        assertThat(restored.revision()).isEqualTo(2);
        restored.clear();
        assertThat(restored.snapshot()).isEmpty();
    }

    @Test
    void numberOfEmptiedDataCentresIsLimited() {
        for (int i = 0; i < 1_000; i++) {
            assertThat(apply("d" + i, true, table.revision())).isTrue();
        }
        assertThat(apply("one-more", true, table.revision())).isFalse();
        assertThat(apply("d0", false, table.revision())).isTrue();
        assertThat(apply("one-more", true, table.revision())).isTrue();
    }
}
