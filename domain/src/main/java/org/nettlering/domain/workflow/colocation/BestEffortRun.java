package org.nettlering.domain.workflow.colocation;

import org.nettlering.domain.interference.InterferenceModel.Neighbor;
import org.nettlering.domain.workflow.RunId;

/**
 * A run that only fills, beside runs that serve.
 *
 * <p>Immutable and thread-safe.
 *
 * @param run the run, not null
 * @param image what it runs, not null
 * @param millicores the processors that it asks for
 * @param usedMillicores the processors that it used when it was measured last, zero if it was not yet
 * @param speedPercent the share of its speed at which it works
 */
public record BestEffortRun(RunId run, String image, long millicores, long usedMillicores, int speedPercent) {
    private static final double MILLICORES_PER_CORE = 1_000.0;

    private static final double PERCENT = 100.0;

    /** Returns what it is beside others now. */
    Neighbor currentLoad() {
        return usedMillicores > 0 ? new Neighbor(image, usedMillicores / MILLICORES_PER_CORE) : loadAt(speedPercent);
    }

    /** Returns what it is beside others at a pace. */
    Neighbor loadAt(int percent) {
        return new Neighbor(image, millicores / MILLICORES_PER_CORE * percent / PERCENT);
    }
}
