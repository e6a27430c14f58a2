package org.nettlering.domain.workflow.sharing;

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
final class StrainModel {
    /** What a processor of an image is taken to add while the pair is unknown, and how far that may be off. */
    private static final double UNKNOWN_COST = 15;

    private static final double UNKNOWN_COST_DEVIATION = 25;

    /** How much the cost of a pair may have changed after one second, as a variance. */
    private static final double COST_DRIFT = 0.5;

    /** A run's own strain while it was never measured, and how far that may be off. */
    private static final double UNKNOWN_BASE = 500;

    private static final double UNKNOWN_BASE_DEVIATION = 200;

    /** How much a run's own strain may have changed after one second, as a variance: load swings within seconds. */
    private static final double BASE_DRIFT = 7_000;

    /** How far one measurement may be off, as a variance: hosts tell whole milliseconds over half a second. */
    private static final double MEASUREMENT_VARIANCE = 1_600;

    /** A surprise counts up to this many of its standard deviations: what lies beyond has another cause. */
    private static final double LARGEST_SURPRISE = 3;

    /** The part of the deviation that is added to the cost of a pair where a run would be added. */
    private static final double CAUTION = 0.5;

    /** The longest time between two measurements that counts, in seconds. */
    private static final double LONGEST_GAP_SECONDS = 5;

    private static final double NANOS_PER_SECOND = 1e9;

    /** The costs by pair, serving image first. */
    private final Map<Pair, Estimate> costs = new HashMap<>();

    /** The own strain of each run that serves, by host. */
    private final Map<String, Map<RunId, Estimate>> bases = new HashMap<>();

    StrainModel() {}

    private record Pair(String servingImage, String fillingImage) {}

    /** A value, how far it may be off, and since when. */
    private static final class Estimate {
        private double value;

        private double variance;

        private long changedNanos;

        Estimate(double value, double deviation, long nowNanos) {
            this.value = value;
            variance = deviation * deviation;
            changedNanos = nowNanos;
        }

        /** Lets the variance grow up to a bound with the time that has passed. */
        private void age(double driftPerSecond, double largestDeviation, long nowNanos) {
            double seconds = Math.clamp((nowNanos - changedNanos) / NANOS_PER_SECOND, 0, LONGEST_GAP_SECONDS);
            variance = Math.min(variance + driftPerSecond * seconds, largestDeviation * largestDeviation);
            changedNanos = nowNanos;
        }

        /** Takes its share of a surprise; the weight is how much of this value is in what was measured. */
        private void correct(double surprise, double surpriseVariance, double weight) {
            double gain = variance * weight / surpriseVariance;
            value = Math.max(0, value + gain * surprise);
            variance *= 1 - gain * weight;
        }
    }

    /**
     * Learns from one measurement of the runs that serve on a host; runs that are not among them are forgotten.
     *
     * @param hostId the life of the host, not null
     * @param strains the strain of each run as measured, in thousandths, not null
     * @param beside what filled beside them while it was measured, not null
     * @param nowNanos the monotonic time
     */
    void learn(String hostId, Map<ServingRun, Long> strains, List<Neighbor> beside, long nowNanos) {
        Map<RunId, Estimate> known = bases.computeIfAbsent(hostId, id -> new HashMap<>());
        Map<RunId, Estimate> present = new HashMap<>();
        Map<String, Integer> alike = new HashMap<>();
        strains.keySet().forEach(run -> alike.merge(run.image(), 1, Integer::sum));
        strains.forEach((run, strain) -> {
            Estimate base = known.getOrDefault(run.run(), new Estimate(UNKNOWN_BASE, UNKNOWN_BASE_DEVIATION, nowNanos));
            // Runs of one image on one host are disturbed alike: together they say little more than one of them.
            double noise = MEASUREMENT_VARIANCE * alike.getOrDefault(run.image(), 1);
            learn(run.image(), base, strain, beside, noise, nowNanos);
            present.put(run.run(), base);
        });
        bases.put(hostId, present);
    }

    private void learn(String image, Estimate base, long strain, List<Neighbor> beside, double noise, long nowNanos) {
        base.age(BASE_DRIFT, UNKNOWN_BASE_DEVIATION, nowNanos);
        double expected = base.value;
        double variance = base.variance + noise;
        for (Neighbor neighbor : beside) {
            Estimate cost = costOf(image, neighbor.workClass(), nowNanos);
            cost.age(COST_DRIFT, UNKNOWN_COST_DEVIATION, nowNanos);
            expected += cost.value * neighbor.processors();
            variance += cost.variance * neighbor.processors() * neighbor.processors();
        }
        double largest = LARGEST_SURPRISE * Math.sqrt(variance);
        double surprise = Math.clamp(strain - expected, -largest, largest);
        base.correct(surprise, variance, 1);
        for (Neighbor neighbor : beside) {
            costOf(image, neighbor.workClass(), nowNanos).correct(surprise, variance, neighbor.processors());
        }
    }

    private Estimate costOf(String servingImage, String fillingImage, long nowNanos) {
        return costs.computeIfAbsent(
                new Pair(servingImage, fillingImage),
                pair -> new Estimate(UNKNOWN_COST, UNKNOWN_COST_DEVIATION, nowNanos));
    }

    /** Returns the strain that a run is under by its own load, in thousandths, or another value if it was never measured. */
    double base(String hostId, RunId run, long unmeasured) {
        Estimate base = bases.getOrDefault(hostId, Map.of()).get(run);
        return base == null ? (double) unmeasured : base.value;
    }

    /** Returns what an image adds to the strain of another, in thousandths. */
    double cost(String servingImage, Neighbor filling) {
        Estimate cost = costs.get(new Pair(servingImage, filling.workClass()));
        return (cost == null ? UNKNOWN_COST : cost.value) * filling.processors();
    }

    /** Returns what an image adds to the strain of another, in thousandths, with a margin while little is known. */
    double cautiousCost(String servingImage, Neighbor filling) {
        Estimate cost = costs.get(new Pair(servingImage, filling.workClass()));
        double margin = CAUTION * (cost == null ? UNKNOWN_COST_DEVIATION : Math.sqrt(cost.variance));
        return cost(servingImage, filling) + margin * filling.processors();
    }

    /** Forgets the runs of a host. */
    void forget(String hostId) {
        bases.remove(hostId);
    }
}
