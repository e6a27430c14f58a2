package org.nettlering.runtime.trace;

import io.opentelemetry.sdk.common.Clock;
import java.time.Instant;
import org.nettlering.domain.time.TimeSource;

/** Lets OpenTelemetry read the time of the project. Thread-safe. */
final class SpanClock implements Clock {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /** The time of the project. */
    private final TimeSource time;

    SpanClock(TimeSource time) {
        this.time = time;
    }

    @Override
    public long now() {
        Instant instant = time.instant();
        return instant.getEpochSecond() * NANOS_PER_SECOND + instant.getNano();
    }

    @Override
    public long nanoTime() {
        return time.nanoTime();
    }
}
