package org.nettlering.domain.workflow.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.TerminalStatus;

class HostFailureBackoffTest {
    private final HostFailureBackoff backoff = HostFailureBackoff.create();

    @Test
    void hostBacksOffFromSecondConsecutiveFailureWithDoublingDelay() {
        backoff.recordTermination("h", TerminalStatus.FAILED, 0);
        assertThat(backoff.isBackingOff("h", 1)).isFalse();
        assertThat(backoff.consecutiveFailures("h")).isEqualTo(1);
        backoff.recordTermination("h", TerminalStatus.FAILED, 0);
        assertThat(backoff.isBackingOff("h", seconds(3.9))).isTrue();
        assertThat(backoff.isBackingOff("h", seconds(4.1))).isFalse();
        backoff.recordTermination("h", TerminalStatus.FAILED, seconds(5));
        assertThat(backoff.isBackingOff("h", seconds(12.9))).isTrue();
    }

    @Test
    void completedRunResetsFailuresAndBackoff() {
        backoff.recordTermination("h", TerminalStatus.FAILED, 0);
        backoff.recordTermination("h", TerminalStatus.FAILED, 0);
        backoff.recordTermination("h", TerminalStatus.DONE, 1);
        assertThat(backoff.isBackingOff("h", 2)).isFalse();
        assertThat(backoff.consecutiveFailures("h")).isZero();
    }

    @Test
    void stoppedAndUnstartedRunsDoNotCountAsFailures() {
        backoff.recordTermination("h", TerminalStatus.STOPPED, 0);
        backoff.recordTermination("h", TerminalStatus.NOT_BEGUN, 0);
        assertThat(backoff.consecutiveFailures("h")).isZero();
    }

    private static long seconds(double seconds) {
        return Duration.ofMillis(Math.round(seconds * 1_000)).toNanos();
    }
}
