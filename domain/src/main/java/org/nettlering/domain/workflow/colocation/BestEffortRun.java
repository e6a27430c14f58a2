package org.nettlering.domain.workflow.colocation;

import org.nettlering.domain.interference.PairwiseInterferenceModel.Neighbor;
import org.nettlering.domain.workflow.RunId;

/**
 * A best-effort run as its host last measured it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param run the run, not null
 * @param image the container image, not null
 * @param millicores the requested processors, in millicores
 * @param usedMillicores the processors in use at the last measurement, in millicores; zero if not measured yet
 * @param speedPercent the share of full speed, in percent; 100 if not throttled
 */
public record BestEffortRun(RunId run, String image, long millicores, long usedMillicores, int speedPercent) {
    private static final double MILLICORES_PER_CORE = 1_000.0;

    private static final double PERCENT = 100.0;

    /** Returns its current load on colocated runs: the measured use, or an estimate from its speed. */
    Neighbor currentLoad() {
        return usedMillicores > 0 ? new Neighbor(image, usedMillicores / MILLICORES_PER_CORE) : loadAt(speedPercent);
    }

    /** Returns its load on colocated runs at a speed, in percent. */
    Neighbor loadAt(int percent) {
        return new Neighbor(image, millicores / MILLICORES_PER_CORE * percent / PERCENT);
    }
}
