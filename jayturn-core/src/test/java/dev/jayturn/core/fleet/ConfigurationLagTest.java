package dev.jayturn.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class ConfigurationLagTest implements ConfigurationListener {
    private final ConfigurationLag lag = new ConfigurationLag();
    private final List<String> reports = new ArrayList<>();

    ConfigurationLagTest() {
        lag.setListener(this);
    }

    @Test
    void instanceThatStaysBehindIsReportedOnceAndWhenItHasCaughtUp() {
        lag.update(Map.of("entry-0", 4L, "entry-1", 5L), 5, 1_000);
        lag.update(Map.of("entry-0", 4L, "entry-1", 5L), 5, 2_900);
        assertThat(reports).isEmpty();
        assertThat(lag.lowestVersion()).hasValue(4);
        assertThat(lag.behindCount()).isEqualTo(1);
        lag.update(Map.of("entry-0", 4L, "entry-1", 5L), 5, 3_000);
        lag.update(Map.of("entry-0", 4L, "entry-1", 5L), 5, 3_100);
        lag.update(Map.of("entry-0", 5L, "entry-1", 5L), 5, 3_200);
        assertThat(reports).containsExactly("behind entry-0 4 5 2000", "caught up entry-0 5 2200");
        assertThat(lag.behindCount()).isZero();
    }

    @Test
    void instanceThatIsNoLongerLiveIsForgotten() {
        lag.update(Map.of("entry-0", 4L), 5, 1_000);
        lag.update(Map.of(), 5, 2_000);
        lag.update(Map.of("entry-0", 4L), 5, 9_000);
        assertThat(reports).isEmpty();
        assertThat(lag.behindCount()).isEqualTo(1);
    }

    @Override
    public void onCallForwarded(long id, long version, String leader) {
        throw new AssertionError("no calls are made");
    }

    @Override
    public void onCallAnswered(ConfigurationAnswer answer) {
        throw new AssertionError("no calls are made");
    }

    @Override
    public void onCallUnconfirmed(long id, long version, String reason, String leader) {
        throw new AssertionError("no calls are made");
    }

    @Override
    public void onEntryBehind(String entry, long version, long newest, long millis) {
        reports.add("behind " + entry + ' ' + version + ' ' + newest + ' ' + millis);
    }

    @Override
    public void onEntryCaughtUp(String entry, long version, long millis) {
        reports.add("caught up " + entry + ' ' + version + ' ' + millis);
    }
}
