package org.nettlering.domain.workflow.colocation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.nettlering.domain.interference.PairwiseInterferenceModel.Neighbor;
import org.nettlering.domain.workflow.RunId;

/**
 * Keeps latency-critical runs within their targets by throttling the best-effort runs on the same host.
 *
 * <p>Interference by batch work differs by image and changes within seconds. The controller
 *
 * <ul>
 *   <li>learns for each pair of images how much latency pressure one processor of the best-effort image adds;
 *   <li>throttles the runs with the highest cost first when the tail latency comes near a target;
 *   <li>raises the speed of the runs with the lowest cost first when there is headroom again;
 *   <li>does not throttle runs with negligible cost, until a target has been missed for {@code MAX_TARGET_MISS};
 *   <li>waits for the effect of a change before it makes the next one on the same host.
 * </ul>
 *
 * <p>Pressures and costs are in thousandths: 0 at the baseline tail latency, 1000 at the target. Not thread-safe.
 */
public final class ColocationController {
    /** Best-effort runs are throttled above this pressure. */
    private static final long THROTTLE_THRESHOLD = 880;

    /** The pressure that speed changes and new runs aim at. */
    private static final long PRESSURE_SETPOINT = 760;

    /** A run with negligible cost may be added up to this pressure. */
    private static final long NEGLIGIBLE_RUN_PRESSURE_LIMIT = 930;

    /** The highest pressure that a run may add and still count as negligible. */
    private static final double NEGLIGIBLE_COST = 25;

    /** Above this pressure, the measured excess over the target is not meaningful. */
    private static final long SATURATION_PRESSURE = 1_100;

    /** All best-effort runs are throttled after a target was missed for this long, whatever their learned cost. */
    private static final Duration MAX_TARGET_MISS = Duration.ofMillis(1_800);

    /** The lowest speed, in percent of full speed; a stopped run would hold its memory without making progress. */
    public static final int MIN_SPEED_PERCENT = 5;

    private static final int FULL_SPEED_PERCENT = 100;

    /** Smaller changes of speed are not worth a command. */
    private static final int MIN_SPEED_CHANGE_PERCENT = 10;

    /** The weight of a measurement below the baseline tail latency. */
    private static final double BASELINE_FALL_WEIGHT = 0.05;

    /** The weight of a measurement above the baseline tail latency. */
    private static final double BASELINE_RISE_WEIGHT = 0.001;

    /** The time until a change takes effect in measurements: hosts measure over half a second. */
    private static final Duration SETTLING_TIME = Duration.ofMillis(650);

    /** The assumed ratio of baseline tail latency to target for an image that was not measured. */
    private static final double UNMEASURED_BASELINE_FRACTION = 0.3;

    private final InterferenceModel model = new InterferenceModel();

    /** The baseline tail latency of each latency-critical image, in milliseconds. */
    private final Map<String, Double> baselineMillisByImage = new HashMap<>();

    /** The monotonic time since which a target has been missed on each host. */
    private final Map<String, Long> missedSinceNanosByHost = new HashMap<>();

    /** The monotonic time of the last speed change on each host. */
    private final Map<String, Long> lastChangeNanosByHost = new HashMap<>();

    /**
     * Creates a controller without learned interference.
     *
     * @return a new controller, never null
     */
    public static ColocationController create() {
        return new ColocationController();
    }

    private ColocationController() {}

    /**
     * Learns from a measurement of one host and decides the speeds of its best-effort runs.
     *
     * @param hostId the incarnation id of the host, not null
     * @param latencyCritical the latency-critical runs on the host, not null
     * @param bestEffort the best-effort runs on the host, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return the speeds to change, in percent of full speed, by run, never null
     */
    public Map<RunId, Integer> adjustSpeeds(
            String hostId, List<LatencyCriticalRun> latencyCritical, List<BestEffortRun> bestEffort, long nowNanos) {
        latencyCritical.forEach(this::updateBaseline);
        updateTargetMiss(hostId, latencyCritical, nowNanos);
        Long lastChangeNanos = lastChangeNanosByHost.get(hostId);
        boolean settling = lastChangeNanos != null && nowNanos - lastChangeNanos < SETTLING_TIME.toNanos();
        Map<LatencyCriticalRun, Long> pressures = new LinkedHashMap<>();
        latencyCritical.forEach(run -> pressures.put(run, pressure(run)));
        // A backlog beyond the target drains with a delay after its cause, and would be attributed to later neighbors.
        boolean saturated = pressures.values().stream().anyMatch(pressure -> pressure > SATURATION_PRESSURE);
        if (!settling || !saturated) {
            model.learn(
                    hostId,
                    pressures,
                    bestEffort.stream().map(BestEffortRun::currentLoad).toList(),
                    nowNanos);
        }
        if (settling) {
            return Map.of();
        }
        Map<RunId, Integer> changes = decideSpeeds(hostId, pressures, bestEffort, nowNanos);
        if (!changes.isEmpty()) {
            lastChangeNanosByHost.put(hostId, nowNanos);
        }
        return changes;
    }

    /** Lowers the baseline quickly and raises it slowly, so that one low measurement has no permanent effect. */
    private void updateBaseline(LatencyCriticalRun run) {
        double tailMillis = Math.max(1, run.tailLatencyMillis());
        double baseline = baselineMillisByImage.getOrDefault(run.image(), tailMillis);
        double weight = tailMillis < baseline ? BASELINE_FALL_WEIGHT : BASELINE_RISE_WEIGHT;
        baselineMillisByImage.put(run.image(), baseline + weight * (tailMillis - baseline));
    }

    private void updateTargetMiss(String hostId, List<LatencyCriticalRun> latencyCritical, long nowNanos) {
        boolean missed = latencyCritical.stream().anyMatch(run -> run.tailLatencyMillis() > run.targetMillis());
        if (missed) {
            missedSinceNanosByHost.putIfAbsent(hostId, nowNanos);
        } else {
            missedSinceNanosByHost.remove(hostId);
        }
    }

    /**
     * Removes the measurements of a host. Learned costs of image pairs stay.
     *
     * @param hostId the incarnation id of the host, not null
     */
    public void removeHost(String hostId) {
        lastChangeNanosByHost.remove(hostId);
        missedSinceNanosByHost.remove(hostId);
        model.removeHost(hostId);
    }

    /**
     * Returns the latency pressure on a latency-critical run.
     *
     * @param run the run, not null
     * @return thousandths: 0 at the baseline tail latency, 1000 at the target
     */
    public long pressure(LatencyCriticalRun run) {
        double defaultBaseline = run.targetMillis() * UNMEASURED_BASELINE_FRACTION;
        double baseline =
                Math.min(baselineMillisByImage.getOrDefault(run.image(), defaultBaseline), run.targetMillis() / 2.0);
        return run.pressureThousandths(baseline);
    }

    private Map<RunId, Integer> decideSpeeds(
            String hostId, Map<LatencyCriticalRun, Long> pressures, List<BestEffortRun> bestEffort, long nowNanos) {
        Map<RunId, Integer> changes = new LinkedHashMap<>();
        if (pressures.isEmpty()) {
            bestEffort.stream()
                    .filter(run -> run.speedPercent() < FULL_SPEED_PERCENT)
                    .forEach(run -> changes.put(run.run(), FULL_SPEED_PERCENT));
            return changes;
        }
        Long missedSinceNanos = missedSinceNanosByHost.get(hostId);
        if (missedSinceNanos != null && nowNanos - missedSinceNanos > MAX_TARGET_MISS.toNanos()) {
            bestEffort.stream()
                    .filter(run -> run.speedPercent() > MIN_SPEED_PERCENT)
                    .forEach(run -> changes.put(run.run(), MIN_SPEED_PERCENT));
            return changes;
        }
        pressures.forEach((run, pressure) -> {
            if (pressure > THROTTLE_THRESHOLD) {
                reduceSpeeds(run, excessPressure(hostId, run, pressure, bestEffort), bestEffort, changes);
            }
        });
        if (changes.isEmpty()) {
            raiseSpeeds(hostId, pressures, bestEffort, changes);
        }
        return changes;
    }

    /** Returns the pressure to remove; far beyond the target, the learned costs are taken into account as well. */
    private double excessPressure(
            String hostId, LatencyCriticalRun run, long pressure, List<BestEffortRun> bestEffort) {
        double measured = (double) (pressure - PRESSURE_SETPOINT);
        if (pressure <= SATURATION_PRESSURE) {
            return measured;
        }
        double totalCost = 0;
        for (BestEffortRun each : bestEffort) {
            totalCost += cost(run, each, each.speedPercent());
        }
        return Math.max(
                measured, totalCost - Math.max(0, PRESSURE_SETPOINT - model.basePressure(hostId, run.run(), pressure)));
    }

    private void reduceSpeeds(
            LatencyCriticalRun latencyCritical,
            double excessPressure,
            List<BestEffortRun> bestEffort,
            Map<RunId, Integer> changes) {
        List<BestEffortRun> costliest = new ArrayList<>(bestEffort);
        costliest.sort(
                Comparator.comparingDouble((BestEffortRun run) -> -cost(latencyCritical, run, run.speedPercent())));
        double remaining = excessPressure;
        for (BestEffortRun run : costliest) {
            int currentSpeed = changes.getOrDefault(run.run(), run.speedPercent());
            remaining -= cost(latencyCritical, run, run.speedPercent()) - cost(latencyCritical, run, currentSpeed);
            double currentCost = cost(latencyCritical, run, currentSpeed);
            if (remaining <= 0) {
                return;
            }
            if (currentSpeed <= MIN_SPEED_PERCENT || cost(latencyCritical, run, FULL_SPEED_PERCENT) < NEGLIGIBLE_COST) {
                continue;
            }
            int desiredSpeed = (int) (currentSpeed * Math.max(0, 1 - remaining / currentCost));
            int maxNewSpeed = Math.max(MIN_SPEED_PERCENT, currentSpeed - MIN_SPEED_CHANGE_PERCENT);
            int speed = Math.min(Math.max(MIN_SPEED_PERCENT, desiredSpeed), maxNewSpeed);
            changes.put(run.run(), speed);
            remaining -= currentCost - cost(latencyCritical, run, speed);
        }
    }

    private void raiseSpeeds(
            String hostId,
            Map<LatencyCriticalRun, Long> pressures,
            List<BestEffortRun> bestEffort,
            Map<RunId, Integer> changes) {
        Map<LatencyCriticalRun, Double> headroom = new LinkedHashMap<>();
        pressures.forEach((run, pressure) -> headroom.put(
                run, PRESSURE_SETPOINT - Math.max(pressure, expectedPressure(hostId, run, pressure, bestEffort))));
        List<BestEffortRun> cheapest = new ArrayList<>(bestEffort);
        cheapest.sort(Comparator.comparingDouble(run -> maxCost(pressures.keySet(), run)));
        for (BestEffortRun run : cheapest) {
            if (run.speedPercent() >= FULL_SPEED_PERCENT) {
                continue;
            }
            int speed = maxSpeedWithin(headroom, run);
            if (speed - run.speedPercent()
                    < Math.min(MIN_SPEED_CHANGE_PERCENT, FULL_SPEED_PERCENT - run.speedPercent())) {
                continue;
            }
            changes.put(run.run(), speed);
            headroom.replaceAll((latencyCritical, remaining) ->
                    remaining - cost(latencyCritical, run, speed) + cost(latencyCritical, run, run.speedPercent()));
        }
    }

    /** Returns the pressure that is expected when the commanded speeds have taken effect. */
    private double expectedPressure(
            String hostId, LatencyCriticalRun latencyCritical, long measured, List<BestEffortRun> bestEffort) {
        double sum = model.basePressure(hostId, latencyCritical.run(), measured);
        for (BestEffortRun run : bestEffort) {
            sum += cost(latencyCritical, run, run.speedPercent());
        }
        return sum;
    }

    private double maxCost(Iterable<LatencyCriticalRun> latencyCritical, BestEffortRun bestEffort) {
        double largest = 0;
        for (LatencyCriticalRun run : latencyCritical) {
            largest = Math.max(largest, cost(run, bestEffort, FULL_SPEED_PERCENT));
        }
        return largest;
    }

    /** Returns the highest speed at which a best-effort run stays within the headroom of every latency-critical run. */
    private int maxSpeedWithin(Map<LatencyCriticalRun, Double> headroom, BestEffortRun bestEffort) {
        int speed = FULL_SPEED_PERCENT;
        for (Map.Entry<LatencyCriticalRun, Double> each : headroom.entrySet()) {
            double fullSpeedCost = cost(each.getKey(), bestEffort, FULL_SPEED_PERCENT);
            boolean negligible = fullSpeedCost < NEGLIGIBLE_COST
                    && each.getValue() > PRESSURE_SETPOINT - NEGLIGIBLE_RUN_PRESSURE_LIMIT;
            if (!negligible) {
                double increase = FULL_SPEED_PERCENT * each.getValue() / Math.max(1, fullSpeedCost);
                speed = Math.min(speed, (int) Math.min(FULL_SPEED_PERCENT, bestEffort.speedPercent() + increase));
            }
        }
        return speed;
    }

    private double cost(LatencyCriticalRun latencyCritical, BestEffortRun bestEffort, int speedPercent) {
        return model.cost(latencyCritical.image(), bestEffort.loadAt(speedPercent));
    }

    /**
     * Returns the pressure on a run from its own load, without that of best-effort runs on its host.
     *
     * @param hostId the incarnation id of its host, not null
     * @param run the run with its last measurement, not null
     * @return the pressure in thousandths, 1000 at the target
     */
    public long basePressure(String hostId, LatencyCriticalRun run) {
        return Math.round(model.basePressure(hostId, run.run(), pressure(run)));
    }

    /**
     * Returns the pressure that each processor of a best-effort run at full speed adds to a latency-critical run.
     *
     * @param latencyCriticalImage the image of the latency-critical run, not null
     * @param bestEffortImage the image of the best-effort run, not null
     * @return the pressure in thousandths, with a margin that shrinks as the pair is measured
     */
    public double addedPressurePerProcessor(String latencyCriticalImage, String bestEffortImage) {
        return model.conservativeCost(latencyCriticalImage, new Neighbor(bestEffortImage, 1));
    }

    /**
     * Returns whether a best-effort run may be added beside a latency-critical run.
     *
     * @param resulting the resulting pressure on the latency-critical run, in thousandths
     * @param added the part of it that the best-effort run adds, in thousandths
     * @return true if the target would be met with a safety margin
     */
    public static boolean isAcceptable(long resulting, long added) {
        return resulting <= (added <= NEGLIGIBLE_COST ? NEGLIGIBLE_RUN_PRESSURE_LIMIT : PRESSURE_SETPOINT);
    }

    /**
     * Returns whether the pressure that a best-effort run adds is negligible.
     *
     * @param added the pressure that it adds, in thousandths
     * @return true if it is negligible
     */
    public static boolean isNegligible(long added) {
        return added <= NEGLIGIBLE_COST;
    }
}
