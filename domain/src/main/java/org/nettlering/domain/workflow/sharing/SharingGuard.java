package org.nettlering.domain.workflow.sharing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.nettlering.domain.interference.InterferenceModel;
import org.nettlering.domain.interference.InterferenceModel.Neighbor;
import org.nettlering.domain.workflow.RunName;

/**
 * Keeps runs that serve within their targets by the pace of the runs that fill beside them.
 *
 * <p>Answers batch work that disturbs what serves by amounts that differ by image and change within seconds. Learns for each
 * pair of images how much strain one processor of the other adds; slows the runs down that cost most when a target comes
 * near, and lets those go on first that cost least when there is room again. Waits for the effect of a change before the
 * next one on the same host. Not thread-safe.
 */
public final class SharingGuard {
    /** Above this strain, in thousandths, what fills is slowed down. */
    private static final long SLOW_DOWN_ABOVE = 880;

    /** Below this strain, in thousandths, what fills may go faster. */
    private static final long SPEED_UP_BELOW = 680;

    /** The strain, in thousandths, that changes of pace and new runs aim at. */
    private static final long AIM = 760;

    /** Above this strain, in thousandths, how far beyond the target it is tells nothing: everything is slowed down. */
    private static final long SATURATED = 1_100;

    /** The slowest pace, in percent: a run that stands still would hold its memory for nothing. */
    private static final int SLOWEST = 5;

    /** The pace of a run that is not held back, in percent. */
    private static final int WHOLE = 100;

    /** A change of pace smaller than this, in percent, is not worth an order. */
    private static final int SMALLEST_CHANGE = 10;

    /** The weight of a new measurement in the strain of an image that nothing fills beside. */
    private static final double ALONE_WEIGHT = 0.1;

    /** The weight of a measurement below the quietest tail. */
    private static final double QUIET_FALL_WEIGHT = 0.05;

    /** The weight of a measurement above the quietest tail. */
    private static final double QUIET_RISE_WEIGHT = 0.001;

    /** How long a change takes to show: hosts measure over half a second. */
    private static final Duration SETTLING = Duration.ofMillis(650);

    /** The part of its target that is taken for the quietest tail of an image that was not measured. */
    private static final double UNMEASURED_QUIET = 0.3;

    /** What was learned of pairs of images; the slowdown is counted in thousandths of strain. */
    private final InterferenceModel model = InterferenceModel.empty();

    /** The tail of each serving image at its quietest, in milliseconds. */
    private final Map<String, Double> quietTails = new HashMap<>();

    /** The strain of each serving image when nothing fills beside it, in thousandths. */
    private final Map<String, Double> aloneStrains = new HashMap<>();

    /** When each host was last told a pace, by the monotonic clock. */
    private final Map<String, Long> changedNanos = new HashMap<>();

    /**
     * Creates a guard that has learned nothing.
     *
     * @return a new guard, never null
     */
    public static SharingGuard create() {
        return new SharingGuard();
    }

    private SharingGuard() {}

    /**
     * Learns from a measurement of one host, and decides the pace of the runs that fill there.
     *
     * @param hostId the life of the host, not null
     * @param serving the runs that serve there, not null
     * @param filling the runs that fill there, not null
     * @param nowNanos the monotonic time
     * @return the paces to change, in percent, by run, never null
     */
    public Map<RunName, Integer> paces(
            String hostId, List<ServingRun> serving, List<FillingRun> filling, long nowNanos) {
        serving.forEach(this::noteQuiet);
        Long changed = changedNanos.get(hostId);
        if (changed != null && nowNanos - changed < SETTLING.toNanos()) {
            return Map.of();
        }
        learn(serving, filling);
        Map<RunName, Integer> changes = decide(serving, filling);
        if (!changes.isEmpty()) {
            changedNanos.put(hostId, nowNanos);
        }
        return changes;
    }

    /** Moves the quietest tail down soon and up slowly, so that one low measurement does not count for good. */
    private void noteQuiet(ServingRun run) {
        double tail = Math.max(1, run.tailMillis());
        double known = quietTails.getOrDefault(run.image(), tail);
        double weight = tail < known ? QUIET_FALL_WEIGHT : QUIET_RISE_WEIGHT;
        quietTails.put(run.image(), known + weight * (tail - known));
    }

    /**
     * Forgets a host.
     *
     * @param hostId the life of the host, not null
     */
    public void forget(String hostId) {
        changedNanos.remove(hostId);
    }

    private void learn(List<ServingRun> serving, List<FillingRun> filling) {
        List<Neighbor> beside = filling.stream().map(FillingRun::now).toList();
        for (ServingRun run : serving) {
            double strain = strain(run);
            if (filling.isEmpty()) {
                aloneStrains.merge(run.image(), strain, (known, latest) -> known + ALONE_WEIGHT * (latest - known));
                continue;
            }
            double alone = aloneStrains.getOrDefault(run.image(), Math.min(strain, AIM / 2.0));
            model.learn(run.image(), (int) Math.round(1_000 + strain - alone), beside);
        }
    }

    /**
     * Returns the strain of a run that serves.
     *
     * @param run the run, not null
     * @return thousandths: 0 at its quietest, 1000 at the target
     */
    public long strain(ServingRun run) {
        double unmeasured = run.targetMillis() * UNMEASURED_QUIET;
        double quiet = Math.min(quietTails.getOrDefault(run.image(), unmeasured), run.targetMillis() / 2.0);
        return run.strainThousandths(quiet);
    }

    private Map<RunName, Integer> decide(List<ServingRun> serving, List<FillingRun> filling) {
        Map<RunName, Integer> changes = new LinkedHashMap<>();
        if (serving.isEmpty()) {
            filling.stream().filter(run -> run.pacePercent() < WHOLE).forEach(run -> changes.put(run.run(), WHOLE));
            return changes;
        }
        ServingRun worst =
                serving.stream().max(Comparator.comparingLong(this::strain)).orElseThrow();
        long strain = strain(worst);
        if (strain > SATURATED) {
            filling.stream()
                    .filter(run -> run.pacePercent() > SLOWEST && cost(worst, run, run.pacePercent()) > 0)
                    .forEach(run -> changes.put(run.run(), SLOWEST));
        } else if (strain > SLOW_DOWN_ABOVE) {
            slowDown(worst, (double) (strain - AIM), filling, changes);
        } else if (strain < SPEED_UP_BELOW) {
            speedUp(worst, (double) (AIM - strain), filling, changes);
        }
        return changes;
    }

    private void slowDown(ServingRun worst, double excess, List<FillingRun> filling, Map<RunName, Integer> changes) {
        List<FillingRun> costliest = new ArrayList<>(filling);
        costliest.sort(Comparator.comparingDouble((FillingRun run) -> -cost(worst, run, run.pacePercent())));
        double open = excess;
        for (FillingRun run : costliest) {
            if (open <= 0) {
                return;
            }
            if (run.pacePercent() <= SLOWEST) {
                continue;
            }
            double now = cost(worst, run, run.pacePercent());
            int wanted = now <= 0 ? SLOWEST : (int) (run.pacePercent() * Math.max(0, 1 - open / now));
            int least = Math.max(SLOWEST, run.pacePercent() - SMALLEST_CHANGE);
            int pace = Math.min(Math.max(SLOWEST, wanted), least);
            changes.put(run.run(), pace);
            open -= now - cost(worst, run, pace);
        }
    }

    private void speedUp(ServingRun worst, double room, List<FillingRun> filling, Map<RunName, Integer> changes) {
        List<FillingRun> cheapest = new ArrayList<>(filling);
        cheapest.sort(Comparator.comparingDouble((FillingRun run) -> cost(worst, run, WHOLE)));
        double open = room;
        for (FillingRun run : cheapest) {
            if (run.pacePercent() >= WHOLE) {
                continue;
            }
            double whole = cost(worst, run, WHOLE);
            int wanted = whole <= 0 ? WHOLE : (int) (run.pacePercent() + WHOLE * open / whole);
            int pace = Math.min(WHOLE, wanted);
            if (pace - run.pacePercent() < SMALLEST_CHANGE) {
                return;
            }
            changes.put(run.run(), pace);
            open -= cost(worst, run, pace) - cost(worst, run, run.pacePercent());
        }
    }

    private double cost(ServingRun serving, FillingRun filling, int pacePercent) {
        return model.predict(serving.image(), filling.at(pacePercent));
    }

    /**
     * Predicts the strain of a run that serves with one more run that fills beside it.
     *
     * @param serving the run that serves, not null
     * @param image what the other one runs, not null
     * @param millicores the processors that the other one asks for
     * @return thousandths: 1000 at the target
     */
    public long predictedStrain(ServingRun serving, String image, long millicores) {
        double added = model.predict(serving.image(), new Neighbor(image, millicores / 1_000.0));
        return strain(serving) + Math.round(added);
    }

    /**
     * Tells whether a predicted strain leaves room for what is not foreseen.
     *
     * @param thousandths the strain: 1000 at the target
     * @return true if one more run may fill there
     */
    public static boolean isBearable(long thousandths) {
        return thousandths <= AIM;
    }
}
