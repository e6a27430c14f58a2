package org.nettlering.domain.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.upstream.UpstreamAddress;

class OutlierDetectorTest {
    private final OutlierDetector detector = OutlierDetector.create();
    private final List<InstanceSlots> candidates = new ArrayList<>();

    OutlierDetectorTest() {
        for (int number = 0; number < 5; number++) {
            candidates.add(InstanceSlots.of(new UpstreamAddress("127.0.0.1", 1_000 + number)));
        }
    }

    private void eject(int number, long now) {
        for (int failure = 0; failure < OutlierDetector.CONSECUTIVE_FAILURES_TO_EJECT; failure++) {
            detector.recordFailure(candidates.get(number).address(), now);
        }
    }

    @Test
    void threeConsecutiveFailuresEjectAnUpstream() {
        eject(0, 0);

        assertThat(detector.usable(candidates, 0)).hasSize(4).doesNotContain(candidates.get(0));
    }

    @Test
    void aResponseResetsTheFailureCount() {
        detector.recordFailure(candidates.get(0).address(), 0);
        detector.recordFailure(candidates.get(0).address(), 0);
        detector.recordSuccess(candidates.get(0).address());
        detector.recordFailure(candidates.get(0).address(), 0);

        assertThat(detector.usable(candidates, 0)).hasSize(5);
    }

    @Test
    void halfOfTheCandidatesRemainUsableWhenAllFail() {
        for (int number = 0; number < 5; number++) {
            eject(number, 0);
        }

        assertThat(detector.usable(candidates, 0)).hasSize(3);
    }

    @Test
    void oneFailureAfterAnEjectionDoublesTheNextEjection() {
        eject(0, 0);
        long ejectionEndNanos = OutlierDetector.INITIAL_EJECTION.toNanos();

        assertThat(detector.isEjected(candidates.get(0).address(), ejectionEndNanos))
                .isFalse();
        detector.recordFailure(candidates.get(0).address(), ejectionEndNanos);
        long beforeSecondEjectionEndNanos =
                ejectionEndNanos + Duration.ofMillis(1_999).toNanos();
        assertThat(detector.isEjected(candidates.get(0).address(), beforeSecondEjectionEndNanos))
                .isTrue();
    }
}
