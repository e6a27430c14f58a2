package org.nettlering.domain.workflow.colocation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.nettlering.domain.interference.InterferenceModel.Neighbor;
import org.nettlering.domain.workflow.RunId;

/**
 * Learns what strains a run that serves: its own load, and each processor of what fills beside it.
 *
 * <p>Answers services whose own load swings within seconds by as much as what is beside them adds, and pairs of images of
 * which few disturb each other and those strongly. The strain is taken as the sum of a part of the run's own, which drifts,
 * and of a cost for each processor, which belongs to the pair of images and stays. Both are estimated with their variance
 * (a Kalman filter with the covariances left out), so that what changes with a start or a pace is put down to the pair, and
 * what changes by itself to the run. Strains are in thousandths of the way to the target. Not thread-safe.
 */
final class InterferenceModel {
    /** What a processor of an image is taken to add while the pair is unknown, and how far that may be off. */
    private static final double INITIAL_COST = 15;

    private static final double INITIAL_COST_DEVIATION = 25;

    /** How much the cost of a pair may have changed after one second, as a variance. */
    private static final double COST_DRIFT_PER_SECOND = 0.5;

    /** A run's own strain while it was never measured, and how far that may be off. */
    private static final double INITIAL_BASE_PRESSURE = 500;

    private static final double INITIAL_BASE_DEVIATION = 200;

    /** How much a run's own strain may have changed after one second, as a variance: load swings within seconds. */
    private static final double BASE_DRIFT_PER_SECOND = 7_000;

    /** How far one measurement may be off, as a variance: hosts tell whole milliseconds over half a second. */
    private static final double MEASUREMENT_VARIANCE = 1_600;

    /** A surprise counts up to this many of its standard deviations: what lies beyond has another cause. */
    private static final double MAX_INNOVATION_DEVIATIONS = 3;

    /** The part of the deviation that is added to the cost of a pair where a run would be added. */
    private static final double UNCERTAINTY_MARGIN = 0.5;

    /** The longest time between two measurements that counts, in seconds. */
    private static final double MAX_GAP_SECONDS = 5;

    private static final double NANOS_PER_SECOND = 1e9;

    /** The costs by pair, serving image first. */
    private final Map<Pair, Estimate> costs = new HashMap<>();

    /** The own strain of each run that serves, by host. */
    private final Map<String, Map<RunId, Estimate>> basePressuresByHost = new HashMap<>();

    InterferenceModel() {}

    private record Pair(String latencyCriticalImage, String bestEffortImage) {}

    /** A value, how far it may be off, and since when. */
    private static final class Estimate {
        private double value;

        private double variance;

        private long updatedNanos;

        Estimate(double value, double deviation, long nowNanos) {
            this.value = value;
            variance = deviation * deviation;
            updatedNanos = nowNanos;
        }

        /** Lets the variance grow up to a bound with the time that has passed. */
        private void growVariance(double driftPerSecond, double maxDeviation, long nowNanos) {
            double seconds = Math.clamp((nowNanos - updatedNanos) / NANOS_PER_SECOND, 0, MAX_GAP_SECONDS);
            variance = Math.min(variance + driftPerSecond * seconds, maxDeviation * maxDeviation);
            updatedNanos = nowNanos;
        }

        /** Takes its share of a surprise; the weight is how much of this value is in what was measured. */
        private void correct(double innovation, double innovationVariance, double weight) {
            double gain = variance * weight / innovationVariance;
            value = Math.max(0, value + gain * innovation);
            variance *= 1 - gain * weight;
        }
    }

    /**
     * Learns from one measurement of the runs that serve on a host; runs that are not among them are forgotten.
     *
     * @param hostId the life of the host, not null
     * @param pressures the strain of each run as measured, in thousandths, not null
     * @param neighbors what filled beside them while it was measured, not null
     * @param nowNanos the monotonic time
     */
    void learn(String hostId, Map<LatencyCriticalRun, Long> pressures, List<Neighbor> neighbors, long nowNanos) {
        Map<RunId, Estimate> previous = basePressuresByHost.computeIfAbsent(hostId, id -> new HashMap<>());
        Map<RunId, Estimate> current = new HashMap<>();
        Map<String, Integer> runsPerImage = new HashMap<>();
        pressures.keySet().forEach(run -> runsPerImage.merge(run.image(), 1, Integer::sum));
        pressures.forEach((run, pressure) -> {
            Estimate base = previous.getOrDefault(
                    run.run(), new Estimate(INITIAL_BASE_PRESSURE, INITIAL_BASE_DEVIATION, nowNanos));
            // Runs of one image on one host are disturbed alike: together they say little more than one of them.
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

    /** Returns the strain that a run is under by its own load, in thousandths, or another value if it was never measured. */
    double basePressure(String hostId, RunId run, long fallback) {
        Estimate base = basePressuresByHost.getOrDefault(hostId, Map.of()).get(run);
        return base == null ? (double) fallback : base.value;
    }

    /** Returns what an image adds to the strain of another, in thousandths. */
    double cost(String latencyCriticalImage, Neighbor neighbor) {
        Estimate cost = costs.get(new Pair(latencyCriticalImage, neighbor.workClass()));
        return (cost == null ? INITIAL_COST : cost.value) * neighbor.processors();
    }

    /** Returns what an image adds to the strain of another, in thousandths, with a margin while little is known. */
    double conservativeCost(String latencyCriticalImage, Neighbor neighbor) {
        Estimate cost = costs.get(new Pair(latencyCriticalImage, neighbor.workClass()));
        double margin = UNCERTAINTY_MARGIN * (cost == null ? INITIAL_COST_DEVIATION : Math.sqrt(cost.variance));
        return cost(latencyCriticalImage, neighbor) + margin * neighbor.processors();
    }

    /** Forgets the runs of a host. */
    void removeHost(String hostId) {
        basePressuresByHost.remove(hostId);
    }
}
