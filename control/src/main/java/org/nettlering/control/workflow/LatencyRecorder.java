package org.nettlering.control.workflow;

import io.prometheus.metrics.core.datapoints.DistributionDataPoint;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAccumulator;
import java.util.concurrent.atomic.LongAdder;

/**
 * The times that one kind of work took: as a histogram since the start, and as a spread since the spread was taken last.
 *
 * <p>Thread-safe; a time that is added while the spread is taken counts in this one or the next.
 */
final class LatencyRecorder {
    private static final double NANOS_PER_SECOND = 1e9;

    /** The histogram, in seconds. */
    private final DistributionDataPoint histogram;

    /** How many times were added since the last spread. */
    private final LongAdder count = new LongAdder();

    /** Their sum, in nanoseconds. */
    private final LongAdder totalNanos = new LongAdder();

    /** The longest of them, in nanoseconds. */
    private final LongAccumulator maxNanos = new LongAccumulator(Math::max, 0);

    static LatencyRecorder of(DistributionDataPoint histogram) {
        return new LatencyRecorder(histogram);
    }

    private LatencyRecorder(DistributionDataPoint histogram) {
        this.histogram = histogram;
    }

    /** Adds a time; a negative one counts as none. */
    void observe(long nanos) {
        long taken = Math.max(0, nanos);
        histogram.observe(taken / NANOS_PER_SECOND);
        count.increment();
        totalNanos.add(taken);
        maxNanos.accumulate(taken);
    }

    /** Returns the spread of the times that were added since the last call. */
    Summary summariseAndReset() {
        long taken = count.sumThenReset();
        long mean = taken == 0 ? 0 : totalNanos.sumThenReset() / taken;
        return new Summary(
                taken, TimeUnit.NANOSECONDS.toMicros(mean), TimeUnit.NANOSECONDS.toMicros(maxNanos.getThenReset()));
    }

    /**
     * The spread of some times.
     *
     * @param count how many
     * @param meanMicros their mean, in microseconds, 0 without any
     * @param maxMicros the longest, in microseconds, 0 without any
     */
    record Summary(long count, long meanMicros, long maxMicros) {
        @Override
        public String toString() {
            return count + " of mean " + meanMicros + " longest " + maxMicros + " us";
        }
    }
}
