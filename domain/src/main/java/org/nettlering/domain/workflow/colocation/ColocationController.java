package org.nettlering.domain.workflow.colocation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.nettlering.domain.interference.InterferenceModel.Neighbor;
import org.nettlering.domain.workflow.RunId;

/**
 * Keeps runs that serve within their targets by the pace of the runs that fill beside them.
 *
 * <p>Answers batch work that disturbs what serves by amounts that differ by image and change within seconds. Learns for each
 * pair of images how much strain one processor of the other adds; slows the runs down that cost most when a target comes
 * near, and lets those go on first that cost least when there is room again. Runs that cost a service nothing are left
 * alone, until a target is missed for longer than can be explained. Waits for the effect of a change before the next one on
 * the same host. Not thread-safe.
 */
public final class ColocationController {
    /** Above this strain, in thousandths, what fills is slowed down. */
    private static final long THROTTLE_THRESHOLD = 880;

    /** The strain, in thousandths, that changes of pace and new runs aim at. */
    private static final long PRESSURE_SETPOINT = 760;

    /** Up to this strain, in thousandths, a run may be added that costs next to nothing. */
    private static final long NEGLIGIBLE_RUN_PRESSURE_LIMIT = 930;

    /** What a run may cost, in thousandths of strain, and still count as next to nothing. */
    private static final double NEGLIGIBLE_COST = 25;

    /** Above this strain, in thousandths, how far beyond the target it is tells nothing. */
    private static final long SATURATION_PRESSURE = 1_100;

    /** How long a target may be missed before all that fills beside it is slowed down, whatever it is thought to cost. */
    private static final Duration MAX_TARGET_MISS = Duration.ofMillis(1_800);

    /** The slowest pace, in percent: a run that stands still would hold its memory for nothing. */
    private static final int MIN_SPEED_PERCENT = 5;

    /** The pace of a run that is not held back, in percent. */
    private static final int FULL_SPEED_PERCENT = 100;

    /** A change of pace smaller than this, in percent, is not worth an order. */
    private static final int MIN_SPEED_CHANGE_PERCENT = 10;

    /** The weight of a measurement below the quietest tail. */
    private static final double BASELINE_FALL_WEIGHT = 0.05;

    /** The weight of a measurement above the quietest tail. */
    private static final double BASELINE_RISE_WEIGHT = 0.001;

    /** How long a change takes to show: hosts measure over half a second. */
    private static final Duration SETTLING_TIME = Duration.ofMillis(650);

    /** The part of its target that is taken for the quietest tail of an image that was not measured. */
    private static final double UNMEASURED_BASELINE_FRACTION = 0.3;

    /** What was learned of runs and pairs of images. */
    private final InterferenceModel model = new InterferenceModel();

    /** The tail of each serving image at its quietest, in milliseconds. */
    private final Map<String, Double> baselineMillisByImage = new HashMap<>();

    /** Since when the targets of a host have been missed, by the monotonic clock. */
    private final Map<String, Long> missedSinceNanosByHost = new HashMap<>();

    /** When each host was last told a pace, by the monotonic clock. */
    private final Map<String, Long> lastChangeNanosByHost = new HashMap<>();

    /**
     * Creates a guard that has learned nothing.
     *
     * @return a new guard, never null
     */
    public static ColocationController create() {
        return new ColocationController();
    }

    private ColocationController() {}

    /**
     * Learns from a measurement of one host, and decides the pace of the runs that fill there.
     *
     * @param hostId the life of the host, not null
     * @param latencyCritical the runs that serve there, not null
     * @param bestEffort the runs that fill there, not null
     * @param nowNanos the monotonic time
     * @return the paces to change, in percent, by run, never null
     */
    public Map<RunId, Integer> adjustSpeeds(
            String hostId, List<LatencyCriticalRun> latencyCritical, List<BestEffortRun> bestEffort, long nowNanos) {
        latencyCritical.forEach(this::updateBaseline);
        updateTargetMiss(hostId, latencyCritical, nowNanos);
        Long lastChangeNanos = lastChangeNanosByHost.get(hostId);
        boolean settling = lastChangeNanos != null && nowNanos - lastChangeNanos < SETTLING_TIME.toNanos();
        Map<LatencyCriticalRun, Long> pressures = new LinkedHashMap<>();
        latencyCritical.forEach(run -> pressures.put(run, pressure(run)));
        // What has piled up beyond a target goes away some time after its cause, and would be put down to what came
        // next.
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

    /** Moves the quietest tail down soon and up slowly, so that one low measurement does not count for good. */
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
     * Forgets a host.
     *
     * @param hostId the life of the host, not null
     */
    public void removeHost(String hostId) {
        lastChangeNanosByHost.remove(hostId);
        missedSinceNanosByHost.remove(hostId);
        model.removeHost(hostId);
    }

    /**
     * Returns the strain of a run that serves.
     *
     * @param run the run, not null
     * @return thousandths: 0 at its quietest, 1000 at the target
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

    /** Returns how much strain has to go; far beyond the target, only what the runs are thought to cost tells. */
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
            int speedLimit = Math.max(MIN_SPEED_PERCENT, currentSpeed - MIN_SPEED_CHANGE_PERCENT);
            int speed = Math.min(Math.max(MIN_SPEED_PERCENT, desiredSpeed), speedLimit);
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

    /** Returns the strain to expect once the paces that were told have taken effect. */
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

    /** Returns the fastest pace at which a run leaves every run that serves within its room. */
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
     * Returns the strain that a run is under by its own load, without what fills beside it.
     *
     * @param hostId the life of its host, not null
     * @param run the run as measured last, not null
     * @return thousandths: 1000 at the target
     */
    public long basePressure(String hostId, LatencyCriticalRun run) {
        return Math.round(model.basePressure(hostId, run.run(), pressure(run)));
    }

    /**
     * Returns the strain that a run which fills adds to one that serves at full pace.
     *
     * @param latencyCriticalImage what the one that serves runs, not null
     * @param bestEffortImage what the other one runs, not null
     * @param millicores the processors that the other one asks for
     * @return thousandths, with a margin while little is known of the pair
     */
    public long addedPressure(String latencyCriticalImage, String bestEffortImage, long millicores) {
        return Math.round(
                model.conservativeCost(latencyCriticalImage, new Neighbor(bestEffortImage, millicores / 1_000.0)));
    }

    /**
     * Tells whether a run that fills may be added beside one that serves.
     *
     * @param resulting the strain that would result, in thousandths
     * @param added what of it the run would add, in thousandths
     * @return true if the target would hold, with room for what is not foreseen
     */
    public static boolean isAcceptable(long resulting, long added) {
        return resulting <= (added <= NEGLIGIBLE_COST ? NEGLIGIBLE_RUN_PRESSURE_LIMIT : PRESSURE_SETPOINT);
    }

    /**
     * Tells whether a run that fills does not disturb what serves.
     *
     * @param added the strain that it adds, in thousandths
     * @return true if it is next to nothing
     */
    public static boolean isNegligible(long added) {
        return added <= NEGLIGIBLE_COST;
    }
}
