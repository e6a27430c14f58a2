package org.nettlering.domain.workflow.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.TerminalStatus;

class HostDoubtsTest {
    private final HostDoubts doubts = HostDoubts.none();

    @Test
    void aHostThatFailsEverythingGetsNothingForAWhileThatDoubles() {
        doubts.ended("h", TerminalStatus.FAILED, 0);
        assertThat(doubts.isPaused("h", 1)).isFalse();
        assertThat(doubts.doubtOf("h")).isEqualTo(1);
        doubts.ended("h", TerminalStatus.FAILED, 0);
        assertThat(doubts.isPaused("h", seconds(3.9))).isTrue();
        assertThat(doubts.isPaused("h", seconds(4.1))).isFalse();
        doubts.ended("h", TerminalStatus.FAILED, seconds(5));
        assertThat(doubts.isPaused("h", seconds(12.9))).isTrue();
    }

    @Test
    void workThatIsDoneClearsAHost() {
        doubts.ended("h", TerminalStatus.FAILED, 0);
        doubts.ended("h", TerminalStatus.FAILED, 0);
        doubts.ended("h", TerminalStatus.DONE, 1);
        assertThat(doubts.isPaused("h", 2)).isFalse();
        assertThat(doubts.doubtOf("h")).isZero();
    }

    @Test
    void endsThatAreNotTheHostsFaultLeaveItSound() {
        doubts.ended("h", TerminalStatus.STOPPED, 0);
        doubts.ended("h", TerminalStatus.NOT_BEGUN, 0);
        assertThat(doubts.doubtOf("h")).isZero();
    }

    private static long seconds(double seconds) {
        return Duration.ofMillis(Math.round(seconds * 1_000)).toNanos();
    }
}
