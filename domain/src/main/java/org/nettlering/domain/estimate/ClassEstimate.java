package org.nettlering.domain.estimate;

import org.nettlering.domain.task.Resources;

/** The measurements of one class of work, and the estimates derived from them. Not thread-safe. */
final class ClassEstimate {
    /** The number of usage samples from which the resource estimate replaces the declaration. */
    private static final int MIN_RESOURCE_SAMPLES = 30;

    /** The number of samples from which the power estimate may be lower than the declaration. */
    private static final int MIN_POWER_SAMPLES = 200;

    /** The number of completed runs from which the run time estimate replaces the declaration. */
    private static final int MIN_RUN_TIME_SAMPLES = 5;

    /** The quantile of the measured use that an allocation covers. */
    private static final double RESOURCE_QUANTILE = 0.99;

    /** The safety margin added to a measured value, in percent. */
    private static final int MARGIN_PERCENT = 10;

    private final LogHistogram millicores = new LogHistogram();
    private final LogHistogram memoryMebibytes = new LogHistogram();

    /** Power draw of unthrottled tasks. */
    private final LogHistogram powerMilliwatts = new LogHistogram();

    /** Run times of completed tasks, throttled ones included. */
    private final LogHistogram runTimeMillis = new LogHistogram();

    private long largestMillicores;
    private long largestMemoryMebibytes;
    private long largestPowerMilliwatts;

    void addUsage(long usedMillicores, long usedMebibytes, long usedMilliwatts) {
        millicores.add(usedMillicores);
        memoryMebibytes.add(usedMebibytes);
        powerMilliwatts.add(usedMilliwatts);
        largestMillicores = Math.max(largestMillicores, usedMillicores);
        largestMemoryMebibytes = Math.max(largestMemoryMebibytes, usedMebibytes);
        largestPowerMilliwatts = Math.max(largestPowerMilliwatts, usedMilliwatts);
    }

    void addRunTime(long millis) {
        runTimeMillis.add(millis);
    }

    Resources resources(Resources declared) {
        if (millicores.sampleCount() < MIN_RESOURCE_SAMPLES) {
            return declared;
        }
        return Resources.of(
                estimateWithMargin(millicores.quantile(RESOURCE_QUANTILE), largestMillicores, declared.millicores()),
                estimateWithMargin(
                        memoryMebibytes.quantile(RESOURCE_QUANTILE),
                        largestMemoryMebibytes,
                        declared.memoryMebibytes()),
                declared.accelerators());
    }

    long powerMilliwatts(long declared) {
        long learned = estimateWithMargin(largestPowerMilliwatts, largestPowerMilliwatts, declared);
        return powerMilliwatts.sampleCount() < MIN_POWER_SAMPLES ? Math.max(declared, learned) : learned;
    }

    long runTimeMillis(long declared) {
        return runTimeMillis.sampleCount() < MIN_RUN_TIME_SAMPLES ? declared : runTimeMillis.quantile(0.5);
    }

    boolean hasLearnedResources() {
        return millicores.sampleCount() >= MIN_RESOURCE_SAMPLES;
    }

    /** Adds the margin, but does not exceed the declaration unless a measured value did. */
    private static long estimateWithMargin(long quantile, long largest, long declared) {
        long learned = addMargin(quantile);
        return largest <= declared ? Math.min(learned, declared) : learned;
    }

    private static long addMargin(long amount) {
        return Math.max(1, Math.ceilDiv(amount * (100 + MARGIN_PERCENT), 100));
    }
}
