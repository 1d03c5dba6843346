package dev.jayturn.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

final class RegionSetTest {
    private static final RegionSet NORTH = RegionSet.of(List.of("north"));
    private static final RegionSet BOTH = RegionSet.of(List.of("north", "south"));

    @Test
    void setWithoutBoundAllowsEveryRegionAndDoesNotNarrowAnother() {
        assertThat(RegionSet.ALL.contains("anywhere")).isTrue();
        assertThat(RegionSet.ALL.intersect(NORTH)).isEqualTo(NORTH);
        assertThat(NORTH.intersect(RegionSet.ALL)).isEqualTo(NORTH);
        assertThat(RegionSet.ALL.intersect(RegionSet.ALL)).isEqualTo(RegionSet.ALL);
    }

    @Test
    void bothSetsBind() {
        assertThat(BOTH.intersect(NORTH)).isEqualTo(NORTH);
        assertThat(BOTH.contains("south")).isTrue();
        assertThat(NORTH.contains("south")).isFalse();
    }

    @Test
    void setsWithoutACommonRegionAllowNone() {
        RegionSet none = NORTH.intersect(RegionSet.of(List.of("south")));
        assertThat(none.isEmpty()).isTrue();
        assertThat(none.contains("north")).isFalse();
        assertThat(none.intersect(RegionSet.ALL)).isEqualTo(none);
    }
}
