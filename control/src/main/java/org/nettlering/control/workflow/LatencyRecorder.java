package org.nettlering.control.workflow;

import io.prometheus.metrics.core.datapoints.DistributionDataPoint;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAccumulator;
import java.util.concurrent.atomic.LongAdder;

/**
 * Records the durations of one kind of work in a histogram since process start and in a summary since the last reset.
 *
 * <p>Thread-safe; a duration that is recorded during a reset counts in the summary before or after it.
 */
final class LatencyRecorder {
    private static final double NANOS_PER_SECOND = 1e9;

    /** The histogram, in seconds. */
    private final DistributionDataPoint histogram;

    /** The number of durations since the last reset. */
    private final LongAdder count = new LongAdder();

    private final LongAdder totalNanos = new LongAdder();

    private final LongAccumulator maxNanos = new LongAccumulator(Math::max, 0);

    static LatencyRecorder of(DistributionDataPoint histogram) {
        return new LatencyRecorder(histogram);
    }

    private LatencyRecorder(DistributionDataPoint histogram) {
        this.histogram = histogram;
    }

    /** Records a duration; a negative one counts as zero. */
    void observe(long nanos) {
        long durationNanos = Math.max(0, nanos);
        histogram.observe(durationNanos / NANOS_PER_SECOND);
        count.increment();
        totalNanos.add(durationNanos);
        maxNanos.accumulate(durationNanos);
    }

    /** Returns a summary of the durations since the last call. */
    Summary summariseAndReset() {
        long observed = count.sumThenReset();
        long meanNanos = observed == 0 ? 0 : totalNanos.sumThenReset() / observed;
        return new Summary(
                observed,
                TimeUnit.NANOSECONDS.toMicros(meanNanos),
                TimeUnit.NANOSECONDS.toMicros(maxNanos.getThenReset()));
    }

    /**
     * A summary of durations.
     *
     * @param count the number of durations
     * @param meanMicros the mean in microseconds, 0 if there are none
     * @param maxMicros the maximum in microseconds, 0 if there are none
     */
    record Summary(long count, long meanMicros, long maxMicros) {}
}
