package org.nettlering.domain.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class SystemTimeTest {
    private final SystemTime time = SystemTime.create("timers-under-test");

    @AfterEach
    void close() {
        time.close();
    }

    @Test
    void whatATimerThrowsReachesTheHandlerAndLaterTimersRun() throws InterruptedException {
        BlockingQueue<Object> seen = new ArrayBlockingQueue<>(2);
        StackOverflowError failure = new StackOverflowError();
        time.schedule(
                Duration.ZERO,
                () -> Thread.currentThread().setUncaughtExceptionHandler((thread, thrown) -> seen.add(thrown)));

        time.schedule(Duration.ofMillis(1), () -> {
            throw failure;
        });
        time.schedule(Duration.ofMillis(20), () -> seen.add("later"));

        assertThat(seen.poll(10, TimeUnit.SECONDS)).isSameAs(failure);
        assertThat(seen.poll(10, TimeUnit.SECONDS)).isEqualTo("later");
    }
}
