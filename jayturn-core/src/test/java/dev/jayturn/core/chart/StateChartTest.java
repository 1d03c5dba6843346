package dev.jayturn.core.chart;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class StateChartTest {
    @Test
    void callChartIsValidAndRejectsUnexpectedEvents() {
        StateChartRun run = new StateChartRun(StateChart.load("call"));
        assertThat(run.tryFire("complete")).isFalse();
        run.fire("open");
        run.fire("opened");
        assertThatThrownBy(() -> run.fire("claim")).isInstanceOf(StateChartException.class);
        run.fire("complete");
        assertThat(run.isFinished()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "initial a\na go b\n",
                "initial a\nfinal b\na go b\nc go b\n",
                "initial a\nfinal b c\na go b\na go c\n",
                "initial a\nfinal b\na b\n",
            })
    void chartWithDeadEndUnreachableStateOrAmbiguousEventIsRejected(String text) {
        assertThatThrownBy(() -> StateChart.parse("t", text))
                .isInstanceOf(StateChartException.class);
    }
}
