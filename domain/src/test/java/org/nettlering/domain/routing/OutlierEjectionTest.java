package org.nettlering.domain.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.upstream.UpstreamAddress;

class OutlierEjectionTest {
    private final OutlierEjection ejection = OutlierEjection.create();
    private final List<InstanceSlots> candidates = new ArrayList<>();

    OutlierEjectionTest() {
        for (int number = 0; number < 5; number++) {
            candidates.add(InstanceSlots.of(new UpstreamAddress("127.0.0.1", 1_000 + number)));
        }
    }

    private void fail(int number, long now) {
        for (int time = 0; time < OutlierEjection.FAILURES_BEFORE_EJECTION; time++) {
            ejection.recordFailure(candidates.get(number).address(), now);
        }
    }

    @Test
    void threeFailuresInARowEject() {
        fail(0, 0);

        assertThat(ejection.usable(candidates, 0)).hasSize(4).doesNotContain(candidates.get(0));
    }

    @Test
    void anAnswerInBetweenStartsTheCountAgain() {
        ejection.recordFailure(candidates.get(0).address(), 0);
        ejection.recordFailure(candidates.get(0).address(), 0);
        ejection.recordSuccess(candidates.get(0).address());
        ejection.recordFailure(candidates.get(0).address(), 0);

        assertThat(ejection.usable(candidates, 0)).hasSize(5);
    }

    @Test
    void halfOfTheCandidatesStayInUseWhenAllFail() {
        for (int number = 0; number < 5; number++) {
            fail(number, 0);
        }

        assertThat(ejection.usable(candidates, 0)).hasSize(3);
    }

    @Test
    void anEjectedUpstreamComesBackAndIsEjectedForTwiceAsLongByOneMoreFailure() {
        fail(0, 0);
        long back = OutlierEjection.FIRST_EJECTION.toNanos();

        assertThat(ejection.isEjected(candidates.get(0).address(), back)).isFalse();
        ejection.recordFailure(candidates.get(0).address(), back);
        long later = back + Duration.ofMillis(1_999).toNanos();
        assertThat(ejection.isEjected(candidates.get(0).address(), later)).isTrue();
    }
}
