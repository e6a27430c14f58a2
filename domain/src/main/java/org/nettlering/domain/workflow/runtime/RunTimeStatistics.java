package org.nettlering.domain.workflow.runtime;

/** The run times of the tasks of one queue and position, actual and relative to the declared ones. Not thread-safe. */
final class RunTimeStatistics {
    /** The weight of samples from which on they count. */
    private static final double MIN_WEIGHT = 8;

    /** The logarithms of the actual run times in milliseconds. */
    private final DecayingMoments actual = new DecayingMoments();

    /** The logarithms of the actual run times divided by the declared ones. */
    private final DecayingMoments error = new DecayingMoments();

    void add(long declaredMillis, long actualMillis) {
        double logActual = Math.log((double) Math.max(1, actualMillis));
        actual.add(logActual);
        error.add(logActual - Math.log((double) Math.max(1, declaredMillis)));
    }

    /** Combines the usual run time and the corrected declaration, weighted by the inverse of their variances. */
    RunTimeEstimate estimate(long declaredMillis) {
        if (actual.weight() < MIN_WEIGHT) {
            return RunTimeEstimate.ofDeclared(declaredMillis);
        }
        double precisionOfUsual = 1 / actual.variance();
        double precisionOfDeclared = 1 / error.variance();
        double precision = precisionOfUsual + precisionOfDeclared;
        double corrected = Math.log((double) Math.max(1, declaredMillis)) + error.mean();
        double logEstimate = (precisionOfUsual * actual.mean() + precisionOfDeclared * corrected) / precision;
        double deviation = Math.sqrt(1 / precision);
        return new RunTimeEstimate(Math.round(Math.exp(logEstimate)), Math.round(Math.exp(logEstimate - deviation)));
    }
}
