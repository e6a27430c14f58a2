package org.nettlering.domain.workflow.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.colocation.ColocationController;
import org.nettlering.domain.workflow.colocation.LatencyCriticalRun;

/**
 * What the runs that serve on one host are strained by while starts are planned: their own load, what fills beside them at
 * full pace, and what this plan adds.
 *
 * <p>Not thread-safe.
 */
final class HostLatencyPressure {
    /** The own strain, in thousandths, of a run that serves and was not measured yet. */
    private static final long UNMEASURED_PRESSURE_THOUSANDTHS = 500;

    /** What was learned of the images that share hosts. */
    private final ColocationController colocation;

    /** The strain of the runs that serve, in thousandths, the largest of each image. */
    private final Map<String, Long> pressures = new HashMap<>();

    /** What one more run adds to each image, by what it is; asked for again and again within one plan. */
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

    /** What a run that fills is, as far as it matters here. */
    private record BestEffortDemand(String image, long millicores) {}

    /**
     * What one more run would do.
     *
     * @param added the largest strain that it adds to a run that serves, in thousandths
     * @param resulting the largest strain with it, in thousandths
     * @param acceptable whether every target would hold
     */
    record Impact(long added, long resulting, boolean acceptable) {
        /** Nobody is served. */
        private static final Impact NONE = new Impact(0, 0, true);
    }

    /** Returns what one more task of a step that fills would do. */
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

    /** Counts one more task of a step that fills. */
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
