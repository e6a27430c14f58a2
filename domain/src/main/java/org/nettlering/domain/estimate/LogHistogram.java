package org.nettlering.domain.estimate;

/**
 * A histogram in which old samples lose weight, with logarithmic buckets that are a sixteenth to an eighth of their lower
 * bound wide.
 *
 * <p>A quantile is returned as the upper bound of its bucket, at most an eighth too high. Not thread-safe.
 */
final class LogHistogram {
    private static final int BUCKETS_PER_OCTAVE = 8;

    /** Enough buckets for amounts below 2^32. */
    private static final int BUCKET_COUNT = 32 * BUCKETS_PER_OCTAVE;

    /** The number of samples at which all counts are halved, so that old samples lose weight. */
    private static final int HALVING_THRESHOLD = 20_000;

    /** The samples in each bucket; allocated when the first one is added. */
    private int[] counts = new int[0];

    private int sampleCount;

    void add(long amount) {
        if (counts.length == 0) {
            counts = new int[BUCKET_COUNT];
        }
        counts[bucketOf(amount)]++;
        sampleCount++;
        if (sampleCount >= HALVING_THRESHOLD) {
            halveCounts();
        }
    }

    int sampleCount() {
        return sampleCount;
    }

    /** Returns an amount that at least the given fraction of the samples do not exceed, zero without samples. */
    long quantile(double fraction) {
        long targetCount = (long) Math.ceil(sampleCount * fraction);
        long cumulativeCount = 0;
        for (int bucket = 0; bucket < counts.length; bucket++) {
            cumulativeCount += counts[bucket];
            if (cumulativeCount >= targetCount && cumulativeCount > 0) {
                return upperBound(bucket);
            }
        }
        return 0;
    }

    private void halveCounts() {
        sampleCount = 0;
        for (int bucket = 0; bucket < counts.length; bucket++) {
            counts[bucket] /= 2;
            sampleCount += counts[bucket];
        }
    }

    private static int bucketOf(long amount) {
        long clamped = Math.clamp(amount, 1, (1L << 31));
        int octave = 63 - Long.numberOfLeadingZeros(clamped);
        long octaveStart = 1L << octave;
        int subBucket = (int) ((clamped - octaveStart) * BUCKETS_PER_OCTAVE / octaveStart);
        return Math.min(octave * BUCKETS_PER_OCTAVE + subBucket, BUCKET_COUNT - 1);
    }

    private static long upperBound(int bucket) {
        int octave = bucket / BUCKETS_PER_OCTAVE;
        int subBucket = bucket % BUCKETS_PER_OCTAVE;
        long octaveStart = 1L << octave;
        return octaveStart + Math.ceilDiv(octaveStart * (subBucket + 1), BUCKETS_PER_OCTAVE);
    }
}
