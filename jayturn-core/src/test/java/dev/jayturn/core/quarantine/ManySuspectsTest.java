package dev.jayturn.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Evidence on as many suspects as a table holds is judged on each change, on one thread. */
final class ManySuspectsTest {
    private static final int SUSPECTS = 1_000;
    private static final int ENDS = 16;
    private static final int CHANGES = 10;

    /** The shortest delay of an event loop that an instance reports. */
    private static final long MAX_CHANGE_MILLIS = 500;

    private final Random random = new Random(1);

    @ParameterizedTest
    @ValueSource(ints = {20, 100, 5_000})
    void eachChangeIsJudgedBeforeOtherWorkOfTheThreadIsLate(int upstreams) {
        EvidenceTable table = new EvidenceTable();
        for (int suspect = 0; suspect < SUSPECTS; suspect++) {
            for (int end = 0; end < ENDS; end++) {
                long millis = 500L * random.nextInt(1_000);
                table.addCircumstantialEnd(
                        "part" + suspect,
                        "u" + random.nextInt(upstreams),
                        millis,
                        "r" + random.nextInt(100_000),
                        millis - 80);
            }
        }
        assertChangesAreJudgedInTime(table);
    }

    @Test
    void partsOfTheSamePromptsAreJudgedBeforeOtherWorkOfTheThreadIsLate() {
        EvidenceTable table = new EvidenceTable();
        for (int end = 0; end < ENDS; end++) {
            for (int suspect = 0; suspect < SUSPECTS; suspect++) {
                long millis = 500L * end;
                table.addEnd("part" + suspect, "u" + end, millis, "r" + end, millis - 80);
            }
        }
        assertChangesAreJudgedInTime(table);
    }

    private static void assertChangesAreJudgedInTime(EvidenceTable table) {
        List<Long> tookMillis = new ArrayList<>();
        for (int change = 0; change < CHANGES; change++) {
            long start = System.nanoTime();
            table.addCircumstantialEnd("new" + change, "v", 600_000, "r", 599_900);
            table.condemned();
            tookMillis.add((System.nanoTime() - start) / 1_000_000);
        }
        // The best of several, since other processes may take the processor.
        assertThat(tookMillis).as("%s ms", tookMillis).anyMatch(ms -> ms < MAX_CHANGE_MILLIS);
    }
}
