package org.nettlering.domain.workflow.sharing;

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
public final class SharingGuard {
    /** Above this strain, in thousandths, what fills is slowed down. */
    private static final long SLOW_DOWN_ABOVE = 880;

    /** The strain, in thousandths, that changes of pace and new runs aim at. */
    private static final long AIM = 760;

    /** Up to this strain, in thousandths, a run may be added that costs next to nothing. */
    private static final long HARMLESS_AIM = 930;

    /** What a run may cost, in thousandths of strain, and still count as next to nothing. */
    private static final double HARMLESS_COST = 25;

    /** Above this strain, in thousandths, how far beyond the target it is tells nothing. */
    private static final long SATURATED = 1_100;

    /** How long a target may be missed before all that fills beside it is slowed down, whatever it is thought to cost. */
    private static final Duration LONGEST_MISS = Duration.ofMillis(1_800);

    /** The slowest pace, in percent: a run that stands still would hold its memory for nothing. */
    private static final int SLOWEST = 5;

    /** The pace of a run that is not held back, in percent. */
    private static final int WHOLE = 100;

    /** A change of pace smaller than this, in percent, is not worth an order. */
    private static final int SMALLEST_CHANGE = 10;

    /** The weight of a measurement below the quietest tail. */
    private static final double QUIET_FALL_WEIGHT = 0.05;

    /** The weight of a measurement above the quietest tail. */
    private static final double QUIET_RISE_WEIGHT = 0.001;

    /** How long a change takes to show: hosts measure over half a second. */
    private static final Duration SETTLING = Duration.ofMillis(650);

    /** The part of its target that is taken for the quietest tail of an image that was not measured. */
    private static final double UNMEASURED_QUIET = 0.3;

    /** What was learned of runs and pairs of images. */
    private final StrainModel model = new StrainModel();

    /** The tail of each serving image at its quietest, in milliseconds. */
    private final Map<String, Double> quietTails = new HashMap<>();

    /** Since when the targets of a host have been missed, by the monotonic clock. */
    private final Map<String, Long> missedSinceNanos = new HashMap<>();

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
    public Map<RunId, Integer> paces(String hostId, List<ServingRun> serving, List<FillingRun> filling, long nowNanos) {
        serving.forEach(this::noteQuiet);
        noteMisses(hostId, serving, nowNanos);
        Long changed = changedNanos.get(hostId);
        boolean settling = changed != null && nowNanos - changed < SETTLING.toNanos();
        Map<ServingRun, Long> strains = new LinkedHashMap<>();
        serving.forEach(run -> strains.put(run, strain(run)));
        // What has piled up beyond a target goes away some time after its cause, and would be put down to what came
        // next.
        boolean pilesUp = strains.values().stream().anyMatch(strain -> strain > SATURATED);
        if (!settling || !pilesUp) {
            model.learn(hostId, strains, filling.stream().map(FillingRun::now).toList(), nowNanos);
        }
        if (settling) {
            return Map.of();
        }
        Map<RunId, Integer> changes = decide(hostId, strains, filling, nowNanos);
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

    private void noteMisses(String hostId, List<ServingRun> serving, long nowNanos) {
        boolean missed = serving.stream().anyMatch(run -> run.tailMillis() > run.targetMillis());
        if (missed) {
            missedSinceNanos.putIfAbsent(hostId, nowNanos);
        } else {
            missedSinceNanos.remove(hostId);
        }
    }

    /**
     * Forgets a host.
     *
     * @param hostId the life of the host, not null
     */
    public void forget(String hostId) {
        changedNanos.remove(hostId);
        missedSinceNanos.remove(hostId);
        model.forget(hostId);
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

    private Map<RunId, Integer> decide(
            String hostId, Map<ServingRun, Long> strains, List<FillingRun> filling, long nowNanos) {
        Map<RunId, Integer> changes = new LinkedHashMap<>();
        if (strains.isEmpty()) {
            filling.stream().filter(run -> run.pacePercent() < WHOLE).forEach(run -> changes.put(run.run(), WHOLE));
            return changes;
        }
        Long missedSince = missedSinceNanos.get(hostId);
        if (missedSince != null && nowNanos - missedSince > LONGEST_MISS.toNanos()) {
            filling.stream().filter(run -> run.pacePercent() > SLOWEST).forEach(run -> changes.put(run.run(), SLOWEST));
            return changes;
        }
        strains.forEach((run, strain) -> {
            if (strain > SLOW_DOWN_ABOVE) {
                slowDown(run, excess(hostId, run, strain, filling), filling, changes);
            }
        });
        if (changes.isEmpty()) {
            speedUp(hostId, strains, filling, changes);
        }
        return changes;
    }

    /** Returns how much strain has to go; far beyond the target, only what the runs are thought to cost tells. */
    private double excess(String hostId, ServingRun run, long strain, List<FillingRun> filling) {
        double measured = (double) (strain - AIM);
        if (strain <= SATURATED) {
            return measured;
        }
        double all = 0;
        for (FillingRun each : filling) {
            all += cost(run, each, each.pacePercent());
        }
        return Math.max(measured, all - Math.max(0, AIM - model.base(hostId, run.run(), strain)));
    }

    private void slowDown(ServingRun serving, double excess, List<FillingRun> filling, Map<RunId, Integer> changes) {
        List<FillingRun> costliest = new ArrayList<>(filling);
        costliest.sort(Comparator.comparingDouble((FillingRun run) -> -cost(serving, run, run.pacePercent())));
        double open = excess;
        for (FillingRun run : costliest) {
            int present = changes.getOrDefault(run.run(), run.pacePercent());
            open -= cost(serving, run, run.pacePercent()) - cost(serving, run, present);
            double now = cost(serving, run, present);
            if (open <= 0) {
                return;
            }
            if (present <= SLOWEST || cost(serving, run, WHOLE) < HARMLESS_COST) {
                continue;
            }
            int wanted = (int) (present * Math.max(0, 1 - open / now));
            int least = Math.max(SLOWEST, present - SMALLEST_CHANGE);
            int pace = Math.min(Math.max(SLOWEST, wanted), least);
            changes.put(run.run(), pace);
            open -= now - cost(serving, run, pace);
        }
    }

    private void speedUp(
            String hostId, Map<ServingRun, Long> strains, List<FillingRun> filling, Map<RunId, Integer> changes) {
        Map<ServingRun, Double> room = new LinkedHashMap<>();
        strains.forEach((run, strain) -> room.put(run, AIM - Math.max(strain, expected(hostId, run, strain, filling))));
        List<FillingRun> cheapest = new ArrayList<>(filling);
        cheapest.sort(Comparator.comparingDouble(run -> largestCost(strains.keySet(), run)));
        for (FillingRun run : cheapest) {
            if (run.pacePercent() >= WHOLE) {
                continue;
            }
            int pace = paceWithin(room, run);
            if (pace - run.pacePercent() < Math.min(SMALLEST_CHANGE, WHOLE - run.pacePercent())) {
                continue;
            }
            changes.put(run.run(), pace);
            room.replaceAll((serving, open) -> open - cost(serving, run, pace) + cost(serving, run, run.pacePercent()));
        }
    }

    /** Returns the strain to expect once the paces that were told have taken effect. */
    private double expected(String hostId, ServingRun serving, long measured, List<FillingRun> filling) {
        double sum = model.base(hostId, serving.run(), measured);
        for (FillingRun run : filling) {
            sum += cost(serving, run, run.pacePercent());
        }
        return sum;
    }

    private double largestCost(Iterable<ServingRun> serving, FillingRun filling) {
        double largest = 0;
        for (ServingRun run : serving) {
            largest = Math.max(largest, cost(run, filling, WHOLE));
        }
        return largest;
    }

    /** Returns the fastest pace at which a run leaves every run that serves within its room. */
    private int paceWithin(Map<ServingRun, Double> room, FillingRun filling) {
        int pace = WHOLE;
        for (Map.Entry<ServingRun, Double> each : room.entrySet()) {
            double whole = cost(each.getKey(), filling, WHOLE);
            boolean harmless = whole < HARMLESS_COST && each.getValue() > AIM - HARMLESS_AIM;
            if (!harmless) {
                double more = WHOLE * each.getValue() / Math.max(1, whole);
                pace = Math.min(pace, (int) Math.min(WHOLE, filling.pacePercent() + more));
            }
        }
        return pace;
    }

    private double cost(ServingRun serving, FillingRun filling, int pacePercent) {
        return model.cost(serving.image(), filling.at(pacePercent));
    }

    /**
     * Returns the strain that a run is under by its own load, without what fills beside it.
     *
     * @param hostId the life of its host, not null
     * @param run the run as measured last, not null
     * @return thousandths: 1000 at the target
     */
    public long ownStrain(String hostId, ServingRun run) {
        return Math.round(model.base(hostId, run.run(), strain(run)));
    }

    /**
     * Returns the strain that a run which fills adds to one that serves at full pace.
     *
     * @param servingImage what the one that serves runs, not null
     * @param fillingImage what the other one runs, not null
     * @param millicores the processors that the other one asks for
     * @return thousandths, with a margin while little is known of the pair
     */
    public long addedStrain(String servingImage, String fillingImage, long millicores) {
        return Math.round(model.cautiousCost(servingImage, new Neighbor(fillingImage, millicores / 1_000.0)));
    }

    /**
     * Tells whether a run that fills may be added beside one that serves.
     *
     * @param resulting the strain that would result, in thousandths
     * @param added what of it the run would add, in thousandths
     * @return true if the target would hold, with room for what is not foreseen
     */
    public static boolean isBearable(long resulting, long added) {
        return resulting <= (added <= HARMLESS_COST ? HARMLESS_AIM : AIM);
    }

    /**
     * Tells whether a run that fills does not disturb what serves.
     *
     * @param added the strain that it adds, in thousandths
     * @return true if it is next to nothing
     */
    public static boolean isHarmless(long added) {
        return added <= HARMLESS_COST;
    }
}
