package org.nettlering.domain.workflow.runtime;

/** The mean and variance of samples of which older ones lose weight. Not thread-safe. */
final class DecayingMoments {
    /** The weight of the samples before when one is added. */
    private static final double RETAINED_WEIGHT = 0.98;

    /** Keeps the variance of equal samples above zero. */
    private static final double MIN_VARIANCE = 1e-4;

    private double weight;

    private double mean;

    /** The weighted sum of the squared deviations from the mean. */
    private double squaredDeviations;

    void add(double sample) {
        weight = weight * RETAINED_WEIGHT + 1;
        squaredDeviations *= RETAINED_WEIGHT;
        double deviation = sample - mean;
        mean += deviation / weight;
        squaredDeviations += deviation * (sample - mean);
    }

    /** Returns the sum of the weights, at most 50. */
    double weight() {
        return weight;
    }

    double mean() {
        return mean;
    }

    double variance() {
        return Math.max(MIN_VARIANCE, squaredDeviations / weight);
    }
}
