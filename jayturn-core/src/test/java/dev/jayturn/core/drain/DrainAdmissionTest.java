package dev.jayturn.core.drain;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class DrainAdmissionTest {
    private static final long GRACE_MILLIS = 7_500;
    private static final long TIMEOUT_MILLIS = 15_000;

    private final DrainAdmission admission = new DrainAdmission();

    @Test
    void everyRequestIsAdmittedBeforeADrain() {
        admission.recordServed("r", TIMEOUT_MILLIS);
        assertThat(admission.isDraining()).isFalse();
        assertThat(admission.admits("r", 0, Long.MAX_VALUE)).isTrue();
    }

    @Test
    void requestOfUnknownDurationIsAdmittedIfItsTimeoutPassesInTime() {
        admission.begin(GRACE_MILLIS);
        assertThat(admission.admits("r", 5_000, 2_400)).isTrue();
        assertThat(admission.admits("r", 5_000, 2_401)).isFalse();
    }

    @Test
    void requestThatUsuallyEndsInTimeIsAdmittedWhateverItsTimeout() {
        for (int i = 0; i < 50; i++) {
            admission.recordServed("r", 100);
        }
        admission.begin(GRACE_MILLIS);
        assertThat(admission.admits("r", 7_000, TIMEOUT_MILLIS)).isTrue();
    }

    @Test
    void noRequestIsAdmittedAtTheEnd() {
        admission.recordServed("r", 0);
        admission.begin(GRACE_MILLIS);
        assertThat(admission.admits("r", admission.endMillis(), 0)).isFalse();
    }

    @Test
    void routesThatAreNotConfiguredAreForgotten() {
        admission.recordServed("r", 100);
        admission.retainRoutes(Set.of("other"));
        admission.begin(GRACE_MILLIS);
        assertThat(admission.admits("r", 0, TIMEOUT_MILLIS)).isFalse();
    }

    /** Replays a stop in which streams and short calls go on arriving to the end of the grace. */
    @Test
    void fewAdmittedRequestsOfAStopUnderLoadAreCutAndFewAreRefusedThatWouldHaveEnded() {
        Random random = new Random(1);
        for (int i = 0; i < 500; i++) {
            admission.recordServed("stream", streamMillis(random));
            admission.recordServed("call", callMillis(random));
        }
        admission.begin(GRACE_MILLIS);
        int cut = 0;
        int refusedCalls = 0;
        int refusedEarlyStreams = 0;
        for (int now = 0; now < GRACE_MILLIS - 500; now++) {
            if (admission.admits("stream", now, TIMEOUT_MILLIS)) {
                cut += now + streamMillis(random) > GRACE_MILLIS ? 1 : 0;
            } else if (now < 2_000) {
                refusedEarlyStreams++;
            }
            if (admission.admits("call", now, TIMEOUT_MILLIS)) {
                cut += now + callMillis(random) > GRACE_MILLIS ? 1 : 0;
            } else {
                refusedCalls++;
            }
        }
        assertThat(cut).isLessThan(14);
        assertThat(refusedCalls).isZero();
        assertThat(refusedEarlyStreams).isZero();
    }

    private static long streamMillis(Random random) {
        return 3_500 + (long) (500 * random.nextGaussian());
    }

    private static long callMillis(Random random) {
        return 90 + random.nextInt(60);
    }
}
