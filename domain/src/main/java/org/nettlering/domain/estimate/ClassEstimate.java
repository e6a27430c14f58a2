package org.nettlering.domain.estimate;

import org.nettlering.domain.task.Resources;

/** What was measured of one class of work. Not thread-safe. */
final class ClassEstimate {
    /** Samples before a commitment departs from the declaration. */
    private static final int MIN_RESOURCE_SAMPLES = 30;

    /** Samples before a draw below the declared one is believed. */
    private static final int MIN_POWER_SAMPLES = 200;

    /** Completed runs before the declared run time is left aside. */
    private static final int MIN_RUN_TIME_SAMPLES = 5;

    /** The share of samples that a commitment covers. */
    private static final double RESOURCE_QUANTILE = 0.99;

    /** Percent that are added to what was measured. */
    private static final int MARGIN_PERCENT = 10;

    /** Processor use. */
    private final LogHistogram millicores = new LogHistogram();

    /** Memory use. */
    private final LogHistogram memoryMebibytes = new LogHistogram();

    /** Draws at full speed. */
    private final LogHistogram powerMilliwatts = new LogHistogram();

    /** Run times of completed tasks at any speed. */
    private final LogHistogram runTimeMillis = new LogHistogram();

    /** The largest processor use. */
    private long largestMillicores;

    /** The largest memory use. */
    private long largestMemoryMebibytes;

    /** The largest draw. */
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
                cappedEstimate(millicores.quantile(RESOURCE_QUANTILE), largestMillicores, declared.millicores()),
                cappedEstimate(
                        memoryMebibytes.quantile(RESOURCE_QUANTILE),
                        largestMemoryMebibytes,
                        declared.memoryMebibytes()),
                declared.accelerators());
    }

    long powerMilliwatts(long declared) {
        long learned = cappedEstimate(largestPowerMilliwatts, largestPowerMilliwatts, declared);
        return powerMilliwatts.sampleCount() < MIN_POWER_SAMPLES ? Math.max(declared, learned) : learned;
    }

    long runTimeMillis(long declared) {
        return runTimeMillis.sampleCount() < MIN_RUN_TIME_SAMPLES ? declared : runTimeMillis.quantile(0.5);
    }

    boolean hasLearnedResources() {
        return millicores.sampleCount() >= MIN_RESOURCE_SAMPLES;
    }

    /** A declaration that was never exceeded is not raised by the margin. */
    private static long cappedEstimate(long quantile, long largest, long declared) {
        long learned = addMargin(quantile);
        return largest <= declared ? Math.min(learned, declared) : learned;
    }

    private static long addMargin(long amount) {
        return Math.max(1, Math.ceilDiv(amount * (100 + MARGIN_PERCENT), 100));
    }
}
