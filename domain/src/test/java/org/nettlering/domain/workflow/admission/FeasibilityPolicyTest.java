package org.nettlering.domain.workflow.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Jobs that take two seconds and are allowed five, behind waiting work that takes as long as each test says. */
class FeasibilityPolicyTest {
    private static final long PATH_MILLIS = 2_000;
    private static final long ALLOWED_MILLIS = 5_000;

    @Test
    void jobThatEndsWhileItsResultIsOfUseIsAdmitted() {
        assertThat(FeasibilityPolicy.retryDelay("a", 0, PATH_MILLIS, ALLOWED_MILLIS))
                .isEmpty();
        assertThat(FeasibilityPolicy.retryDelay("a", 13_000, PATH_MILLIS, ALLOWED_MILLIS))
                .isEmpty();
    }

    @Test
    void jobThatEndsTooLateIsSentAwayUntilItWouldBeInTime() {
        Duration delay = FeasibilityPolicy.retryDelay("a", 13_001, PATH_MILLIS, ALLOWED_MILLIS)
                .orElseThrow();
        assertThat(delay.toMillis()).isBetween(7_500L, 12_501L);
    }

    @Test
    void callersThatAreSentAwayTogetherReturnAtDifferentTimes() {
        Set<Duration> delays = new HashSet<>();
        for (int number = 0; number < 100; number++) {
            delays.add(FeasibilityPolicy.retryDelay("job-" + number, 14_000, PATH_MILLIS, ALLOWED_MILLIS)
                    .orElseThrow());
        }
        assertThat(delays).hasSizeGreaterThan(30);
    }

    @Test
    void retryDelaysStayWithinTheirBounds() {
        assertThat(FeasibilityPolicy.retryDelay("a", 1_000_000, PATH_MILLIS, ALLOWED_MILLIS))
                .contains(Duration.ofSeconds(15));
        assertThat(FeasibilityPolicy.retryDelay("a", 1, 1, 0)).contains(Duration.ofSeconds(1));
    }

    @Test
    void rejectedJobIsRememberedForAMinute() {
        RejectedJobs jobs = RejectedJobs.none();
        jobs.add("a", 0);
        assertThat(jobs.includes("a", Duration.ofSeconds(59).toNanos())).isTrue();
        assertThat(jobs.includes("a", Duration.ofSeconds(60).toNanos())).isFalse();
        assertThat(jobs.includes("b", 0)).isFalse();
    }

    @Test
    void steadyWorkIsMeasuredAsTheProcessorsThatItKeepsBusy() {
        WorkRate rate = WorkRate.startingAt(0);
        for (int millis = 100; millis <= 20_000; millis += 100) {
            rate.add(1_000, Duration.ofMillis(millis).toNanos());
        }
        assertThat(rate.durationMillis(50_000, Duration.ofSeconds(20).toNanos()))
                .isBetween(4_800L, 5_200L);
    }

    @Test
    void nothingIsPredictedFromAFewTasks() {
        WorkRate rate = WorkRate.startingAt(0);
        rate.add(1_000, Duration.ofSeconds(1).toNanos());
        assertThat(rate.durationMillis(50_000, Duration.ofSeconds(2).toNanos())).isZero();
    }
}
