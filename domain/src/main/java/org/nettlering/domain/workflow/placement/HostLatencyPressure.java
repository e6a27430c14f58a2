package org.nettlering.domain.workflow.placement;

import java.util.HashMap;
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

    /** The images of the latency-critical runs. */
    private final String[] images;

    /** The highest pressure on a run of each image. */
    private final long[] pressures;

    HostLatencyPressure(PressureCosts costs, FreeCapacity capacity) {
        Map<String, Long> highest = new HashMap<>();
        for (LatencyCriticalRun run : capacity.latencyCriticalRuns()) {
            highest.merge(
                    run.image(), costs.colocation().basePressure(capacity.host().id(), run), Math::max);
        }
        if (capacity.hasUnmeasuredLatencyCritical()) {
            capacity.latencyCriticalImages()
                    .forEach(image -> highest.merge(image, UNMEASURED_PRESSURE_THOUSANDTHS, Math::max));
        }
        images = highest.keySet().toArray(String[]::new);
        pressures = new long[images.length];
        for (int index = 0; index < images.length; index++) {
            pressures[index] = highest.getOrDefault(images[index], 0L);
        }
        if (images.length > 0) {
            capacity.bestEffortSteps().forEach(step -> add(step, costs.of(step)));
        }
    }

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
    Impact impactOf(StepSpecification step, BestEffortCosts costs) {
        if (images.length == 0) {
            return Impact.NONE;
        }
        long highestAdded = 0;
        long highestResulting = 0;
        boolean acceptable = true;
        for (int index = 0; index < images.length; index++) {
            long added = costs.addedPressure(images[index], step.demand().millicores());
            long resulting = pressures[index] + added;
            highestAdded = Math.max(highestAdded, added);
            highestResulting = Math.max(highestResulting, resulting);
            acceptable &= ColocationController.isAcceptable(resulting, added);
        }
        return new Impact(highestAdded, highestResulting, acceptable);
    }

    /** Adds the pressure of one more task of a best-effort step. */
    void add(StepSpecification step, BestEffortCosts costs) {
        for (int index = 0; index < images.length; index++) {
            pressures[index] += costs.addedPressure(images[index], step.demand().millicores());
        }
    }
}
