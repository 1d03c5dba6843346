package dev.jayturn.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.slice.ClockReading;
import dev.jayturn.core.slice.SliceChange;
import dev.jayturn.core.slice.SliceIssue;
import dev.jayturn.core.slice.SliceMark;
import dev.jayturn.core.slice.SliceRetirement;
import dev.jayturn.core.slice.SliceStatus;
import dev.jayturn.core.slice.SliceTable;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class RemainingTokensTest {
    private static final String HOME = "10.0.0.1:7000#a";
    private static final String OTHER = "10.0.0.2:7000#b";

    private final SliceTable table = new SliceTable();
    private final EntryInstanceState other = new EntryInstanceState();

    @BeforeEach
    void issueToTheHome() {
        table.setPrepaid(Map.of("roy", 1_000L));
        table.apply(
                new SliceChange(
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(new SliceMark(HOME, "roy", 600)),
                        List.of(new SliceIssue(HOME, "roy", 600))));
        other.holder = OTHER;
    }

    private void reportOther(long spent, long received) {
        other.sliceStatuses.put(
                "roy", new SliceStatus("roy", 0, 0, spent, 0, 0, received, 0, 0, 0, 0));
    }

    private long remaining() {
        return RemainingTokens.estimate(table, List.of(other)).getOrDefault("roy", 0L);
    }

    @Test
    void tokensThatACrashedHolderHadTransferredAreNotCountedTwice() {
        reportOther(400, 500);
        table.apply(
                new SliceChange(
                        List.of(),
                        List.of(new SliceRetirement(HOME, new ClockReading("boot", 0, 0), 0)),
                        List.of(),
                        List.of(),
                        List.of()));
        // 400 were never issued, and the other holder has 100 left.
        assertThat(remaining()).isEqualTo(500);
    }

    @Test
    void transferOnItsWayIsNotCountedAsSpent() {
        reportOther(0, 0);
        assertThat(remaining()).isEqualTo(1_000);
    }
}
