package dev.jayturn.core.slice;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class SliceTableTest {
    private static final String HOLDER = "10.0.0.1:7000#a";
    private static final ClockReading PROMISED_AT = new ClockReading("boot-1", 10_000, 500_000);

    private final SliceTable table = new SliceTable();

    @BeforeEach
    void prepay() {
        table.setPrepaid(Map.of("roy", 1_000L));
    }

    private void issue(String holder, long tokens) {
        table.apply(
                new SliceChange(
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(new SliceIssue(holder, "roy", tokens))));
    }

    private void lease(long mark) {
        table.apply(
                new SliceChange(
                        List.of(),
                        List.of(),
                        List.of(new SliceLease(HOLDER, PROMISED_AT, 500_000)),
                        List.of(new SliceMark(HOLDER, "roy", mark)),
                        List.of()));
    }

    private void retire(ClockReading started, long leaderWallMillis) {
        table.apply(
                new SliceChange(
                        List.of(),
                        List.of(new SliceRetirement(HOLDER, started, leaderWallMillis)),
                        List.of(),
                        List.of(),
                        List.of()));
    }

    private void returnTokens(long total) {
        table.apply(
                new SliceChange(
                        List.of(new SliceReturn(HOLDER, "roy", total)),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of()));
    }

    @Test
    void issuedTokensNeverExceedThePrepaidTokens() {
        issue(HOLDER, 700);
        issue("10.0.0.2:7000#b", 700);
        assertThat(table.totals("10.0.0.2:7000#b", "roy").issued()).isEqualTo(300);
        assertThat(table.unissued("roy")).isZero();
    }

    @Test
    void returnedTokensCanBeIssuedAgainOnlyOnce() {
        issue(HOLDER, 700);
        returnTokens(200);
        returnTokens(200);
        returnTokens(100);
        assertThat(table.unissued("roy")).isEqualTo(500);
    }

    @Test
    void holderReplacedWithinItsLeaseCountsItsMarkAsSpent() {
        issue(HOLDER, 700);
        lease(150);
        retire(new ClockReading("boot-1", 12_000, 502_000), 503_000);
        assertThat(table.unissued("roy")).isEqualTo(850);
    }

    @Test
    void holderReplacedAfterItsLeaseCountsItsWholeSliceAsSpent() {
        issue(HOLDER, 700);
        lease(150);
        retire(new ClockReading("boot-1", 14_000, 504_000), 505_000);
        assertThat(table.unissued("roy")).isEqualTo(300);
    }

    @Test
    void afterARebootOneClockThatJumpedBackDoesNotProveReplacementWithinTheLease() {
        issue(HOLDER, 700);
        lease(150);
        retire(new ClockReading("boot-2", 300, 501_000), 520_000);
        assertThat(table.unissued("roy")).isEqualTo(300);
    }

    @Test
    void afterARebootASmallJumpBackOfOneClockDoesNotHideThatTheLeaseHadEnded() {
        issue(HOLDER, 700);
        lease(150);
        // The successor started 5,500 ms after the promise; its wall clock had jumped back 2,500.
        retire(new ClockReading("boot-2", 300, 503_000), 505_500);
        assertThat(table.unissued("roy")).isEqualTo(300);
    }

    @Test
    void afterARebootBothWallClocksTogetherProveReplacementWithinTheLease() {
        issue(HOLDER, 700);
        lease(150);
        retire(new ClockReading("boot-2", 300, 502_500), 502_700);
        assertThat(table.unissued("roy")).isEqualTo(850);
    }

    @Test
    void retiredHolderIsIssuedNothingAndReturnsNothing() {
        issue(HOLDER, 700);
        retire(new ClockReading("boot-1", 90_000, 900_000), 900_000);
        returnTokens(700);
        issue(HOLDER, 100);
        assertThat(table.totals(HOLDER, "roy").issued()).isZero();
        assertThat(table.isRetired(HOLDER)).isTrue();
    }

    @Test
    void snapshotRestoresTheTable() {
        issue(HOLDER, 700);
        lease(150);
        issue("10.0.0.2:7000#b", 100);
        retire(new ClockReading("boot-1", 12_000, 502_000), 503_000);
        SliceTable restored = new SliceTable();
        restored.setPrepaid(table.prepaid());
        table.snapshot().forEach(restored::restore);
        assertThat(restored.unissued("roy")).isEqualTo(table.unissued("roy"));
        assertThat(restored.isRetired(HOLDER)).isTrue();
    }
}
