package org.nettlering.domain.workflow.placement;

import java.util.Collection;
import java.util.function.Predicate;
import org.nettlering.domain.workflow.StepProgress;
import org.nettlering.domain.workflow.colocation.ColocationController;
import org.nettlering.domain.workflow.runtime.RunTimeModel;

/**
 * What a plan is based on, beside the workflow state.
 *
 * @param capacities the free capacity of each schedulable host, reduced by the plan, not null
 * @param overdue returns true for best-effort steps that have waited too long for a host whose latency-critical runs they do not
 *     harm; one task of such a step, or the whole gang, starts throttled on the least harmed host, not null
 * @param colocation provides the learned interference between images, not null
 * @param relocations the runs that may be stopped so that their tasks run on other hosts, not null
 * @param copies the runs that may be copied, not null
 * @param turns the turns in which steps are tried on hosts that are left out after failures, not null
 * @param runTimes estimates how long tasks run, not null
 * @param nowMillis the current time in milliseconds since the Unix epoch
 */
public record PlanInput(
        Collection<FreeCapacity> capacities,
        Predicate<StepProgress> overdue,
        ColocationController colocation,
        RelocationCandidates relocations,
        CopyCandidates copies,
        TrialTurns turns,
        RunTimeModel runTimes,
        long nowMillis) {
    /**
     * Creates an input in which no step has had a turn.
     *
     * @param capacities the free capacity of each schedulable host, not null
     * @param overdue returns true for best-effort steps that have waited too long, not null
     * @param colocation provides the learned interference between images, not null
     * @param relocations the runs that may be stopped so that their tasks run on other hosts, not null
     * @param copies the runs that may be copied, not null
     * @param runTimes estimates how long tasks run, not null
     * @param nowMillis the current time in milliseconds since the Unix epoch
     */
    public PlanInput(
            Collection<FreeCapacity> capacities,
            Predicate<StepProgress> overdue,
            ColocationController colocation,
            RelocationCandidates relocations,
            CopyCandidates copies,
            RunTimeModel runTimes,
            long nowMillis) {
        this(capacities, overdue, colocation, relocations, copies, TrialTurns.create(), runTimes, nowMillis);
    }
}
