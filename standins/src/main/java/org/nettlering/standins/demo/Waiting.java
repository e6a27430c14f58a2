package org.nettlering.standins.demo;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/** Waits for conditions of other processes, which can only be polled. */
final class Waiting {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    private Waiting() {}

    /** Waits until a condition holds, and returns how long that took. */
    static Duration until(String what, Duration limit, BooleanSupplier condition) {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - start > limit.toNanos()) {
                throw new NettleringException(
                        ErrorCode.DEADLINE_EXCEEDED, what + " did not happen within " + limit.toSeconds() + " s");
            }
            pause(POLL_INTERVAL);
        }
        return Duration.ofNanos(System.nanoTime() - start);
    }

    /** Waits for a fixed time. */
    static void pause(Duration time) {
        try {
            Thread.sleep(time);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new NettleringException(ErrorCode.STOPPING, "interrupted", exception);
        }
    }
}
