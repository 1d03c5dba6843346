package dev.jayturn.core.slice;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SlicePlannerTest {
    private static final String HOLDER = "h1";
    private static final String CUSTOMER = "roy";
    private static final long PREPAID = 1_000_000;

    private final SliceTable table = new SliceTable();

    /** Guards against a customer that is refused for good just below its mark. */
    @ParameterizedTest(name = "{0} tokens wanted, {1} below the mark, {2} drawn")
    @CsvSource({
        "10, 9, 0",
        "10, 0, 0",
        "10, 1, 250",
        "12000, 11999, 0",
        "12000, 10900, 50000",
        "12000, 5000, 50000"
    })
    void requestThatExceedsTheMarkRaisesItHoweverLittleItLacks(
            long wanted, long belowMark, long drawn) {
        table.setPrepaid(Map.of(CUSTOMER, PREPAID));
        apply(
                List.of(new SliceMark(HOLDER, CUSTOMER, drawn + belowMark)),
                List.of(new SliceIssue(HOLDER, CUSTOMER, PREPAID / 2)));
        SliceStatus status =
                new SliceStatus(
                        CUSTOMER,
                        PREPAID / 2,
                        drawn + belowMark,
                        drawn,
                        0,
                        0,
                        0,
                        0,
                        0,
                        wanted,
                        wanted);
        SlicePlanner.Holder holder = new SlicePlanner.Holder(HOLDER, "z", Map.of(CUSTOMER, status));
        apply(SlicePlanner.planMarks(table, List.of(holder)), List.of());
        assertThat(table.totals(HOLDER, CUSTOMER).mark()).isGreaterThanOrEqualTo(drawn + wanted);
    }

    private void apply(List<SliceMark> marks, List<SliceIssue> issues) {
        table.apply(new SliceChange(List.of(), List.of(), List.of(), marks, issues));
    }
}
