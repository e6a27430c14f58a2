package org.nettlering.domain.workflow.colocation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.nettlering.domain.interference.PairwiseInterferenceModel.Neighbor;
import org.nettlering.domain.workflow.RunId;

/**
 * Learns how much of the latency pressure on a run comes from its own load and from each colocated best-effort run.
 *
 * <p>The load of a service varies within seconds by as much as interference adds, and few pairs of images interfere,
 * but those strongly. The pressure is modelled as the sum of
 *
 * <ul>
 *   <li>a base pressure of the run, which drifts, and
 *   <li>a cost per processor of each colocated best-effort run, which depends on the pair of images and hardly changes.
 * </ul>
 *
 * <p>Both are estimated with their variances by a Kalman filter without covariances. Changes that coincide with a start
 * or a change of speed are thus attributed mainly to the pair, other changes to the run. Pressures and costs are in
 * thousandths: 0 at the baseline tail latency, 1000 at the target. Not thread-safe.
 */
final class InterferenceModel {
    /** The assumed cost per processor of an unknown pair, and its standard deviation. */
    private static final double INITIAL_COST = 15;

    private static final double INITIAL_COST_DEVIATION = 25;

    /** The variance that the cost of a pair gains per second. */
    private static final double COST_DRIFT_PER_SECOND = 0.5;

    /** The assumed base pressure of a run that was never measured, and its standard deviation. */
    private static final double INITIAL_BASE_PRESSURE = 500;

    private static final double INITIAL_BASE_DEVIATION = 200;

    /** The variance that a base pressure gains per second; load varies within seconds. */
    private static final double BASE_DRIFT_PER_SECOND = 7_000;

    /** The variance of one measurement; hosts report whole milliseconds, measured over half a second. */
    private static final double MEASUREMENT_VARIANCE = 1_600;

    /** Innovations are limited to this many standard deviations; a larger difference has another cause. */
    private static final double MAX_INNOVATION_DEVIATIONS = 3;

    /** The multiple of the standard deviation that {@link #conservativeCost} adds. */
    private static final double UNCERTAINTY_MARGIN = 0.5;

    /** Longer gaps between measurements are treated as this long. */
    private static final double MAX_GAP_SECONDS = 5;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<Pair, Estimate> costs = new HashMap<>();

    /** The base pressure of each latency-critical run, by the incarnation id of its host. */
    private final Map<String, Map<RunId, Estimate>> basePressuresByHost = new HashMap<>();

    InterferenceModel() {}

    private record Pair(String latencyCriticalImage, String bestEffortImage) {}

    /** An estimated value with its variance and the time of the last update. */
    private static final class Estimate {
        private double value;

        private double variance;

        private long updatedNanos;

        Estimate(double value, double deviation, long nowNanos) {
            this.value = value;
            variance = deviation * deviation;
            updatedNanos = nowNanos;
        }

        /** Increases the variance by the drift since the last update, up to a bound. */
        private void growVariance(double driftPerSecond, double maxDeviation, long nowNanos) {
            double seconds = Math.clamp((nowNanos - updatedNanos) / NANOS_PER_SECOND, 0, MAX_GAP_SECONDS);
            variance = Math.min(variance + driftPerSecond * seconds, maxDeviation * maxDeviation);
            updatedNanos = nowNanos;
        }

        /** Applies an innovation; the weight is the coefficient of this value in the measured sum. */
        private void correct(double innovation, double innovationVariance, double weight) {
            double gain = variance * weight / innovationVariance;
            value = Math.max(0, value + gain * innovation);
            variance *= 1 - gain * weight;
        }
    }

    /**
     * Updates the estimates with one measurement of a host. Runs that are not part of the measurement are removed.
     *
     * @param hostId the incarnation id of the host, not null
     * @param pressures the measured pressure on each latency-critical run of the host, in thousandths, not null
     * @param neighbors the best-effort runs on the host during the measurement, not null
     * @param nowNanos the monotonic time in nanoseconds
     */
    void learn(String hostId, Map<LatencyCriticalRun, Long> pressures, List<Neighbor> neighbors, long nowNanos) {
        Map<RunId, Estimate> previous = basePressuresByHost.computeIfAbsent(hostId, id -> new HashMap<>());
        Map<RunId, Estimate> current = new HashMap<>();
        Map<String, Integer> runsPerImage = new HashMap<>();
        pressures.keySet().forEach(run -> runsPerImage.merge(run.image(), 1, Integer::sum));
        pressures.forEach((run, pressure) -> {
            Estimate base = previous.getOrDefault(
                    run.run(), new Estimate(INITIAL_BASE_PRESSURE, INITIAL_BASE_DEVIATION, nowNanos));
            // Runs of one image on one host experience the same interference, so together they add little information.
            double measurementVariance = MEASUREMENT_VARIANCE * runsPerImage.getOrDefault(run.image(), 1);
            learn(run.image(), base, pressure, neighbors, measurementVariance, nowNanos);
            current.put(run.run(), base);
        });
        basePressuresByHost.put(hostId, current);
    }

    private void learn(
            String image,
            Estimate base,
            long pressure,
            List<Neighbor> neighbors,
            double measurementVariance,
            long nowNanos) {
        base.growVariance(BASE_DRIFT_PER_SECOND, INITIAL_BASE_DEVIATION, nowNanos);
        double expectedPressure = base.value;
        double innovationVariance = base.variance + measurementVariance;
        for (Neighbor neighbor : neighbors) {
            Estimate cost = costEstimate(image, neighbor.workClass(), nowNanos);
            cost.growVariance(COST_DRIFT_PER_SECOND, INITIAL_COST_DEVIATION, nowNanos);
            expectedPressure += cost.value * neighbor.processors();
            innovationVariance += cost.variance * neighbor.processors() * neighbor.processors();
        }
        double maxInnovation = MAX_INNOVATION_DEVIATIONS * Math.sqrt(innovationVariance);
        double innovation = Math.clamp(pressure - expectedPressure, -maxInnovation, maxInnovation);
        base.correct(innovation, innovationVariance, 1);
        for (Neighbor neighbor : neighbors) {
            costEstimate(image, neighbor.workClass(), nowNanos)
                    .correct(innovation, innovationVariance, neighbor.processors());
        }
    }

    private Estimate costEstimate(String latencyCriticalImage, String bestEffortImage, long nowNanos) {
        return costs.computeIfAbsent(
                new Pair(latencyCriticalImage, bestEffortImage),
                pair -> new Estimate(INITIAL_COST, INITIAL_COST_DEVIATION, nowNanos));
    }

    /** Returns the pressure on a run from its own load, in thousandths, or the fallback if it was never measured. */
    double basePressure(String hostId, RunId run, long fallback) {
        Estimate base = basePressuresByHost.getOrDefault(hostId, Map.of()).get(run);
        return base == null ? (double) fallback : base.value;
    }

    /** Returns the pressure that a neighbor adds to a run of an image, in thousandths. */
    double cost(String latencyCriticalImage, Neighbor neighbor) {
        Estimate cost = costs.get(new Pair(latencyCriticalImage, neighbor.workClass()));
        return (cost == null ? INITIAL_COST : cost.value) * neighbor.processors();
    }

    /** Returns {@link #cost} plus a margin that shrinks as the pair is measured, in thousandths. */
    double conservativeCost(String latencyCriticalImage, Neighbor neighbor) {
        Estimate cost = costs.get(new Pair(latencyCriticalImage, neighbor.workClass()));
        double margin = UNCERTAINTY_MARGIN * (cost == null ? INITIAL_COST_DEVIATION : Math.sqrt(cost.variance));
        return cost(latencyCriticalImage, neighbor) + margin * neighbor.processors();
    }

    void removeHost(String hostId) {
        basePressuresByHost.remove(hostId);
    }
}
