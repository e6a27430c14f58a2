package org.nettlering.domain.interference;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Predicts how much batch work slows down a service.
 *
 * <p>The excess slowdown of a service is taken as the sum, over the batch tasks beside it, of a coefficient of the pair of
 * classes times the processors that the task uses. Coefficients are learned online by normalized least mean squares, with a
 * step that shrinks as a pair is seen more often, so that single noisy samples move little. A pair that was seen seldom is
 * taken to be worse than it was measured. Not thread-safe.
 */
public final class PairwiseInterferenceModel {
    /** What is assumed of a pair that was never seen: excess thousandths for each processor. */
    static final double PRIOR_THOUSANDTHS_PER_PROCESSOR = 12.0;

    /** Samples after which the assumption counts half. */
    private static final double PRIOR_WEIGHT_SAMPLES = 15.0;

    /** The step for a pair that was seen often. */
    private static final double MINIMUM_STEP_SIZE = 0.02;

    /** The largest error that one sample may teach, in thousandths. */
    private static final double MAXIMUM_ERROR_THOUSANDTHS = 600.0;

    /** Processor use below which a sample teaches nothing about a pair. */
    private static final double MINIMUM_PROCESSORS = 0.05;

    /** Learned pairs. */
    private final Map<ClassPair, Estimate> estimates = new HashMap<>();

    /**
     * Returns a model that has learned nothing.
     *
     * @return a new model, never null
     */
    public static PairwiseInterferenceModel empty() {
        return new PairwiseInterferenceModel();
    }

    private PairwiseInterferenceModel() {}

    /**
     * Learns from one measurement of a service.
     *
     * @param serviceClass the service's class, not null
     * @param slowdownThousandths the measured slowdown, 1000 when undisturbed
     * @param neighbors the batch work that ran on the same worker at the time of the measurement, not null
     */
    public void learn(String serviceClass, int slowdownThousandths, List<Neighbor> neighbors) {
        double squaredProcessors = 0;
        double predicted = 0;
        for (Neighbor neighbor : neighbors) {
            squaredProcessors += neighbor.processors() * neighbor.processors();
            predicted += estimateFor(serviceClass, neighbor).coefficient * neighbor.processors();
        }
        if (squaredProcessors < MINIMUM_PROCESSORS) {
            return;
        }
        double error = Math.clamp(
                slowdownThousandths - 1000 - predicted, -MAXIMUM_ERROR_THOUSANDTHS, MAXIMUM_ERROR_THOUSANDTHS);
        for (Neighbor neighbor : neighbors) {
            if (neighbor.processors() >= MINIMUM_PROCESSORS) {
                estimateFor(serviceClass, neighbor).adjust(error * neighbor.processors() / squaredProcessors);
            }
        }
    }

    /**
     * Predicts the excess slowdown that a batch task adds to a service.
     *
     * @param serviceClass the service's class, not null
     * @param neighbor the batch task, not null
     * @return excess thousandths; higher than measured while the pair was seen seldom
     */
    public double predict(String serviceClass, Neighbor neighbor) {
        Estimate estimate = estimates.get(new ClassPair(serviceClass, neighbor.workClass()));
        if (estimate == null) {
            return PRIOR_THOUSANDTHS_PER_PROCESSOR * neighbor.processors();
        }
        double priorWeight = PRIOR_WEIGHT_SAMPLES / (PRIOR_WEIGHT_SAMPLES + estimate.samples);
        return (estimate.coefficient * (1 - priorWeight) + PRIOR_THOUSANDTHS_PER_PROCESSOR * priorWeight)
                * neighbor.processors();
    }

    /**
     * Returns how often a pair was seen together.
     *
     * @param serviceClass the service's class, not null
     * @param workClass the batch class, not null
     * @return the number of samples
     */
    public int samples(String serviceClass, String workClass) {
        Estimate estimate = estimates.get(new ClassPair(serviceClass, workClass));
        return estimate == null ? 0 : estimate.samples;
    }

    private Estimate estimateFor(String serviceClass, Neighbor neighbor) {
        return estimates.computeIfAbsent(new ClassPair(serviceClass, neighbor.workClass()), pair -> new Estimate());
    }

    /**
     * Batch work of one class beside a service.
     *
     * @param workClass the batch class, not null
     * @param processors the processors that it uses
     */
    public record Neighbor(String workClass, double processors) {}

    private record ClassPair(String serviceClass, String workClass) {}

    /** What was learned of one pair. */
    private static final class Estimate {
        /** Excess thousandths for each processor. */
        private double coefficient = PRIOR_THOUSANDTHS_PER_PROCESSOR;

        /** How often the pair was seen. */
        private int samples;

        private void adjust(double correction) {
            samples++;
            double stepSize = Math.max(MINIMUM_STEP_SIZE, 1.0 / (2.0 + samples / 4.0));
            coefficient = Math.max(0, coefficient + stepSize * correction);
        }
    }
}
