package org.nettlering.benchmarks.leader;

import java.time.Duration;
import java.time.Instant;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.domain.time.TimeSource;

/** The clock of the product: its timers count as work of the loop. Not thread-safe. */
final class MeteredTime implements TimeSource {
    private final ManualTime time;
    private final StageClock clock;

    MeteredTime(ManualTime time, StageClock clock) {
        this.time = time;
        this.clock = clock;
    }

    @Override
    public Instant instant() {
        return time.instant();
    }

    @Override
    public long nanoTime() {
        return time.nanoTime();
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        return time.schedule(delay, () -> clock.run(Stage.LOOP, task));
    }
}
