package org.nettlering.domain.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ManualTimeTest {
    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final List<String> ran = new ArrayList<>();

    @Test
    void timersRunInOrderOfTheirDueTime() {
        time.schedule(Duration.ofSeconds(2), () -> ran.add("second"));
        time.schedule(Duration.ofSeconds(1), () -> ran.add("first"));

        time.advance(Duration.ofSeconds(2));

        assertThat(ran).containsExactly("first", "second");
    }

    @Test
    void aTimerScheduledByATimerRunsInTheSameAdvanceIfDue() {
        time.schedule(Duration.ofSeconds(1), () -> time.schedule(Duration.ofSeconds(1), () -> ran.add("nested")));

        time.advance(Duration.ofSeconds(2));

        assertThat(ran).containsExactly("nested");
    }

    @Test
    void aCancelledTimerDoesNotRun() {
        time.schedule(Duration.ofSeconds(1), () -> ran.add("cancelled")).cancel();

        time.advance(Duration.ofSeconds(2));

        assertThat(ran).isEmpty();
        assertThat(time.pendingTimers()).isZero();
    }

    @Test
    void theWallClockMovesWithTheMonotonicClock() {
        time.advance(Duration.ofMillis(1500));

        assertThat(time.instant()).isEqualTo(Instant.ofEpochMilli(1500));
        assertThat(time.nanoTime()).isEqualTo(1_500_000_000L);
    }
}
