package org.nettlering.domain.estimate;

import org.nettlering.domain.task.Resources;

/** What was measured of one class of work. Not thread-safe. */
final class ClassEstimate {
    /** Samples before a commitment departs from the declaration. */
    private static final int SAMPLES_FOR_SIZE = 30;

    /** Samples before a draw below the declared one is believed. */
    private static final int SAMPLES_FOR_POWER = 200;

    /** Completed runs before the declared run time is left aside. */
    private static final int RUNS_FOR_TIME = 5;

    /** The share of samples that a commitment covers. */
    private static final double COVERED_SHARE = 0.99;

    /** Percent that are added to what was measured. */
    private static final int MARGIN_PERCENT = 10;

    /** Processor use. */
    private final LogHistogram millicores = new LogHistogram();

    /** Memory use. */
    private final LogHistogram memoryMebibytes = new LogHistogram();

    /** Draws at full speed. */
    private final LogHistogram milliwatts = new LogHistogram();

    /** Run times of completed tasks at any speed. */
    private final LogHistogram runTimeMillis = new LogHistogram();

    /** The largest processor use. */
    private long largestMillicores;

    /** The largest memory use. */
    private long largestMebibytes;

    /** The largest draw. */
    private long largestMilliwatts;

    void addUsage(long usedMillicores, long usedMebibytes, long usedMilliwatts) {
        millicores.add(usedMillicores);
        memoryMebibytes.add(usedMebibytes);
        milliwatts.add(usedMilliwatts);
        largestMillicores = Math.max(largestMillicores, usedMillicores);
        largestMebibytes = Math.max(largestMebibytes, usedMebibytes);
        largestMilliwatts = Math.max(largestMilliwatts, usedMilliwatts);
    }

    void addRunTime(long millis) {
        runTimeMillis.add(millis);
    }

    Resources size(Resources declared) {
        if (millicores.total() < SAMPLES_FOR_SIZE) {
            return declared;
        }
        return Resources.of(
                bounded(millicores.quantile(COVERED_SHARE), largestMillicores, declared.millicores()),
                bounded(memoryMebibytes.quantile(COVERED_SHARE), largestMebibytes, declared.memoryMebibytes()),
                declared.accelerators());
    }

    long milliwatts(long declared) {
        long learned = bounded(largestMilliwatts, largestMilliwatts, declared);
        return milliwatts.total() < SAMPLES_FOR_POWER ? Math.max(declared, learned) : learned;
    }

    long runTimeMillis(long declared) {
        return runTimeMillis.total() < RUNS_FOR_TIME ? declared : runTimeMillis.quantile(0.5);
    }

    boolean isSizeLearned() {
        return millicores.total() >= SAMPLES_FOR_SIZE;
    }

    /** A declaration that was never exceeded is not raised by the margin. */
    private static long bounded(long covered, long largest, long declared) {
        long learned = withMargin(covered);
        return largest <= declared ? Math.min(learned, declared) : learned;
    }

    private static long withMargin(long amount) {
        return Math.max(1, Math.ceilDiv(amount * (100 + MARGIN_PERCENT), 100));
    }
}
