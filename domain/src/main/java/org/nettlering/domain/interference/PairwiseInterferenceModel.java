package org.nettlering.domain.interference;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Predicts how much batch tasks slow down a service on the same worker.
 *
 * <p>The model is linear: the excess slowdown of a service is the sum, over all batch tasks on the worker, of the
 * coefficient of the pair of classes (service and task) times the processors that the task uses. Coefficients are
 * learned online by normalized least mean squares. The step size decreases with the number of samples of a pair, so
 * that a single noisy sample has little effect. Predictions for pairs with few samples are weighted towards a prior.
 * Not thread-safe.
 */
public final class PairwiseInterferenceModel {
    /** The prior coefficient of a pair, in thousandths of excess slowdown per processor. */
    static final double PRIOR_THOUSANDTHS_PER_PROCESSOR = 12.0;

    /** The number of samples at which the prior and the learned coefficient have the same weight. */
    private static final double PRIOR_WEIGHT_SAMPLES = 15.0;

    /** The step size for a pair with many samples. */
    private static final double MINIMUM_STEP_SIZE = 0.02;

    /** The limit on the prediction error that is learned from one sample, which bounds the effect of outliers. */
    private static final double MAXIMUM_ERROR_THOUSANDTHS = 600.0;

    /** The processor use of a task below which a sample is not used to learn its pair. */
    private static final double MINIMUM_PROCESSORS = 0.05;

    private final Map<ClassPair, Estimate> estimates = new HashMap<>();

    /**
     * Returns a model without samples.
     *
     * @return a new model, never null
     */
    public static PairwiseInterferenceModel empty() {
        return new PairwiseInterferenceModel();
    }

    private PairwiseInterferenceModel() {}

    /**
     * Updates the coefficients from one measurement of a service.
     *
     * @param serviceClass the class of the service, not null
     * @param slowdownThousandths the measured slowdown in thousandths, 1000 without interference
     * @param neighbors the batch tasks that ran on the same worker at the time of the measurement, not null
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
     * Predicts the excess slowdown of a service that a batch task causes.
     *
     * @param serviceClass the class of the service, not null
     * @param neighbor the batch task, not null
     * @return the excess slowdown in thousandths, weighted towards the prior while the pair has few samples
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
     * Returns the number of samples of a pair of classes.
     *
     * @param serviceClass the class of the service, not null
     * @param workClass the class of the batch tasks, not null
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
     * The batch work of one class on the same worker as a service.
     *
     * @param workClass the class of the batch work, not null
     * @param processors the number of processors that it uses
     */
    public record Neighbor(String workClass, double processors) {}

    private record ClassPair(String serviceClass, String workClass) {}

    private static final class Estimate {
        /** The excess slowdown in thousandths per processor. */
        private double coefficient = PRIOR_THOUSANDTHS_PER_PROCESSOR;

        private int samples;

        private void adjust(double correction) {
            samples++;
            double stepSize = Math.max(MINIMUM_STEP_SIZE, 1.0 / (2.0 + samples / 4.0));
            coefficient = Math.max(0, coefficient + stepSize * correction);
        }
    }
}
