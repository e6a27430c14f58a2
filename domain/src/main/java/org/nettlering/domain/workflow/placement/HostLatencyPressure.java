package org.nettlering.domain.workflow.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.colocation.ColocationController;
import org.nettlering.domain.workflow.colocation.LatencyCriticalRun;

/**
 * The latency pressure on the latency-critical runs of one host while starts are planned.
 *
 * <p>It is the sum of their own load, the best-effort runs on the host at full speed, and the planned best-effort runs.
 * Pressures are in thousandths: 0 at the baseline tail latency, 1000 at the target. Not thread-safe.
 */
final class HostLatencyPressure {
    /** The assumed base pressure of a latency-critical run that was not measured yet. */
    private static final long UNMEASURED_PRESSURE_THOUSANDTHS = 500;

    private final ColocationController colocation;

    /** The highest pressure on a latency-critical run by image. */
    private final Map<String, Long> pressures = new HashMap<>();

    /** Caches impacts, which are requested repeatedly within one plan. */
    private final Map<BestEffortDemand, Impact> impacts = new HashMap<>();

    HostLatencyPressure(ColocationController colocation, FreeCapacity capacity) {
        this.colocation = colocation;
        for (LatencyCriticalRun run : capacity.latencyCriticalRuns()) {
            pressures.merge(run.image(), colocation.basePressure(capacity.host().id(), run), Math::max);
        }
        if (capacity.hasUnmeasuredLatencyCritical()) {
            capacity.latencyCriticalImages()
                    .forEach(image -> pressures.merge(image, UNMEASURED_PRESSURE_THOUSANDTHS, Math::max));
        }
        capacity.bestEffortSteps().forEach(this::add);
    }

    /** The properties of a best-effort run that determine its impact. */
    private record BestEffortDemand(String image, long millicores) {}

    /**
     * The impact of one more best-effort run.
     *
     * @param added the highest pressure that it adds to a latency-critical run, in thousandths
     * @param resulting the highest resulting pressure on a latency-critical run, in thousandths
     * @param acceptable whether every latency target would be met
     */
    record Impact(long added, long resulting, boolean acceptable) {
        /** The impact on a host without latency-critical runs. */
        private static final Impact NONE = new Impact(0, 0, true);
    }

    /** Returns the impact of one more task of a best-effort step. */
    Impact impactOf(StepSpecification step) {
        BestEffortDemand demand =
                new BestEffortDemand(step.serviceLevel().image(), step.demand().millicores());
        return impacts.computeIfAbsent(demand, this::computeImpact);
    }

    private Impact computeImpact(BestEffortDemand demand) {
        Impact impact = Impact.NONE;
        for (Map.Entry<String, Long> entry : pressures.entrySet()) {
            long added = colocation.addedPressure(entry.getKey(), demand.image(), demand.millicores());
            long resulting = entry.getValue() + added;
            impact = new Impact(
                    Math.max(impact.added(), added),
                    Math.max(impact.resulting(), resulting),
                    impact.acceptable() && ColocationController.isAcceptable(resulting, added));
        }
        return impact;
    }

    /** Adds the pressure of one more task of a best-effort step. */
    void add(StepSpecification step) {
        List<String> images = new ArrayList<>(pressures.keySet());
        for (String image : images) {
            long added = colocation.addedPressure(
                    image, step.serviceLevel().image(), step.demand().millicores());
            pressures.merge(image, added, Long::sum);
        }
        impacts.clear();
    }
}
