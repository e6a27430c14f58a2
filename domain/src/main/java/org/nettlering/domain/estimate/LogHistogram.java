package org.nettlering.domain.estimate;

/**
 * Counts amounts in buckets that grow by a sixteenth to an eighth, and forgets slowly.
 *
 * <p>A quantile is returned as the upper end of its bucket, at most an eighth too high. Not thread-safe.
 */
final class LogHistogram {
    /** Buckets for each power of two. */
    private static final int BUCKETS_PER_OCTAVE = 8;

    /** Buckets in total, enough for amounts below 2^32. */
    private static final int BUCKETS = 32 * BUCKETS_PER_OCTAVE;

    /** When all counts are halved, so that old amounts fade. */
    private static final int COUNT_TO_HALVE = 20_000;

    /** Counts by bucket, allotted with the first amount. */
    private int[] counts = new int[0];

    /** The sum of all counts. */
    private int total;

    void add(long amount) {
        if (counts.length == 0) {
            counts = new int[BUCKETS];
        }
        counts[bucket(amount)]++;
        total++;
        if (total >= COUNT_TO_HALVE) {
            halve();
        }
    }

    int total() {
        return total;
    }

    /** Returns an amount that at least the given share of the counted ones do not exceed, zero if none was counted. */
    long quantile(double share) {
        long wanted = (long) Math.ceil(total * share);
        long seen = 0;
        for (int bucket = 0; bucket < counts.length; bucket++) {
            seen += counts[bucket];
            if (seen >= wanted && seen > 0) {
                return upperEnd(bucket);
            }
        }
        return 0;
    }

    private void halve() {
        total = 0;
        for (int bucket = 0; bucket < counts.length; bucket++) {
            counts[bucket] /= 2;
            total += counts[bucket];
        }
    }

    private static int bucket(long amount) {
        long bounded = Math.clamp(amount, 1, (1L << 31));
        int octave = 63 - Long.numberOfLeadingZeros(bounded);
        long below = 1L << octave;
        int part = (int) ((bounded - below) * BUCKETS_PER_OCTAVE / below);
        return Math.min(octave * BUCKETS_PER_OCTAVE + part, BUCKETS - 1);
    }

    private static long upperEnd(int bucket) {
        int octave = bucket / BUCKETS_PER_OCTAVE;
        int part = bucket % BUCKETS_PER_OCTAVE;
        long below = 1L << octave;
        return below + Math.ceilDiv(below * (part + 1), BUCKETS_PER_OCTAVE);
    }
}
