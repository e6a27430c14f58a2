package org.nettlering.domain.workflow.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
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
    void hostThatFailsAllItsRunsAtOnceIsUsedAgainAsSoonAsOneThatFailedTwo() {
        fail("h", 6);
        assertThat(backoff.isBackingOff("h", seconds(3.9))).isTrue();
        assertThat(backoff.isBackingOff("h", seconds(4.1))).isFalse();
        backoff.recordTermination("h", TerminalStatus.FAILED, seconds(4.2));
        assertThat(backoff.isBackingOff("h", seconds(12.1))).isTrue();
        assertThat(backoff.isBackingOff("h", seconds(12.3))).isFalse();
    }

    @Test
    void completedRunResetsFailuresAndBackoff() {
        backoff.recordTermination("h", TerminalStatus.FAILED, 0);
        backoff.recordTermination("h", TerminalStatus.FAILED, 0);
        backoff.recordTermination("h", TerminalStatus.DONE, 1);
        assertThat(backoff.isBackingOff("h", 2)).isFalse();
        assertThat(backoff.consecutiveFailures("h")).isZero();
    }

    /** Guards against a sound host that is left out for longer and longer, as the tasks that last there are never done. */
    @Test
    void runThatIsLongAtWorkAfterTheLastFailureResetsFailuresAndBackoff() {
        fail("h", 2);
        backoff.recordAtWork("h", seconds(5), seconds(8.9));
        assertThat(backoff.consecutiveFailures("h")).isEqualTo(2);
        backoff.recordAtWork("h", seconds(5), seconds(9));
        assertThat(backoff.consecutiveFailures("h")).isZero();
    }

    @Test
    void runThatBeganBeforeTheLastFailureShowsNothing() {
        fail("h", 1);
        backoff.recordTermination("h", TerminalStatus.FAILED, seconds(1));
        backoff.recordAtWork("h", 0, seconds(60));
        assertThat(backoff.consecutiveFailures("h")).isEqualTo(2);
    }

    /** Guards against a task that waits for the longest backoff of the one host that can take it. */
    @Test
    void hostMayBeTriedBeforeALongBackoffIsOver() {
        fail("h", 2);
        assertThat(backoff.mayBeTried("h", seconds(3.9))).isFalse();
        backoff.recordTermination("h", TerminalStatus.FAILED, seconds(5));
        assertThat(backoff.mayBeTried("h", seconds(8.9))).isFalse();
        assertThat(backoff.mayBeTried("h", seconds(9))).isTrue();
        assertThat(backoff.isBackingOff("h", seconds(12.9))).isTrue();
    }

    @Test
    void failureOfATriedHostExcludesItAnew() {
        fail("h", 2);
        backoff.recordTermination("h", TerminalStatus.FAILED, seconds(5));
        backoff.recordTermination("h", TerminalStatus.FAILED, seconds(10));
        assertThat(backoff.mayBeTried("h", seconds(13.9))).isFalse();
        assertThat(backoff.mayBeTried("h", seconds(14))).isTrue();
        assertThat(backoff.isBackingOff("h", seconds(25.9))).isTrue();
    }

    @Test
    void stoppedAndUnstartedRunsDoNotCountAsFailures() {
        backoff.recordTermination("h", TerminalStatus.STOPPED, 0);
        backoff.recordTermination("h", TerminalStatus.NOT_BEGUN, 0);
        assertThat(backoff.consecutiveFailures("h")).isZero();
    }

    @Test
    void atMostHalfOfTheHostsOfAPoolBackOffAtOnce() {
        List<String> hosts = List.of("a", "b", "c", "d", "e");
        hosts.forEach(host -> fail(host, 2));
        fail("d", 1);
        fail("b", 2);
        assertThat(backoff.backingOff(hosts, 1)).containsExactlyInAnyOrder("b", "d");
    }

    @Test
    void onlyHostsWithinTheirBackoffPeriodBackOff() {
        fail("a", 2);
        fail("b", 1);
        assertThat(backoff.backingOff(List.of("a", "b", "c"), 1)).containsExactly("a");
        assertThat(backoff.backingOff(List.of("a", "b", "c"), seconds(4.1))).isEmpty();
    }

    @Test
    void theOnlyHostOfAPoolNeverBacksOff() {
        fail("a", 3);
        assertThat(backoff.backingOff(List.of("a"), 1)).isEmpty();
    }

    private void fail(String hostId, int times) {
        for (int count = 0; count < times; count++) {
            backoff.recordTermination(hostId, TerminalStatus.FAILED, 0);
        }
    }

    private static long seconds(double seconds) {
        return Duration.ofMillis(Math.round(seconds * 1_000)).toNanos();
    }
}
