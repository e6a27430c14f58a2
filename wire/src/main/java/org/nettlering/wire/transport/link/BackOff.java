package org.nettlering.wire.transport.link;

import java.time.Duration;
import java.util.function.DoubleSupplier;

/**
 * The waits between failed attempts: doubled each time up to a limit, with jitter over the upper half.
 *
 * <p>Not thread-safe; the owner guards it.
 */
final class BackOff {
    private static final int MAX_DOUBLINGS = 20;

    /** The shortest wait. */
    private final Duration shortest;

    /** The longest wait. */
    private final Duration longest;

    /** Gives the jitter, from 0 to 1. */
    private final DoubleSupplier random;

    /** Failures since the last success. */
    private int failures;

    BackOff(Duration shortest, Duration longest, DoubleSupplier random) {
        this.shortest = shortest;
        this.longest = longest;
        this.random = random;
    }

    void succeeded() {
        failures = 0;
    }

    Duration failed() {
        long ceiling = Math.min(longest.toNanos(), shortest.toNanos() << Math.min(failures, MAX_DOUBLINGS));
        failures = Math.min(failures + 1, MAX_DOUBLINGS);
        long half = ceiling / 2;
        return Duration.ofNanos(half + (long) (half * random.getAsDouble()));
    }
}
