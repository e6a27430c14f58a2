package org.nettlering.control.workflow;

import java.util.List;
import java.util.Set;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.placement.CopyCandidates;
import org.nettlering.domain.workflow.placement.PlanInput;
import org.nettlering.domain.workflow.placement.RelocationCandidates;
import org.nettlering.domain.workflow.placement.StartPlan;
import org.nettlering.domain.workflow.placement.StartPlanner;
import org.nettlering.domain.workflow.placement.StepWaits;
import org.nettlering.domain.workflow.placement.TrialTurns;
import org.nettlering.domain.workflow.runtime.RunTimeModel;
import org.nettlering.runtime.log.EventLogger;

/**
 * Plans for the leader which runs start, are copied or are moved, from what it knows of hosts and jobs, and keeps what plans need of
 * earlier ones.
 *
 * <p>Not thread-safe: belongs to a {@link WorkflowLeadership}.
 */
final class StartPlanning {
    private static final EventLogger LOG = EventLogger.of(StartPlanning.class);

    private final HostSessions sessions;

    private final StartableHosts startableHosts;

    private final HostColocation colocation;

    private final StragglingRuns straggling;

    private final RunTimeModel runTimes;

    private final RunStops stops;

    private final LoopMetrics metrics;

    private final StepWaits waits = StepWaits.create();

    private final TrialTurns turns = TrialTurns.create();

    /** The runs of the last plan that begin at the lowest speed. */
    private Set<RunId> throttledStarts = Set.of();

    StartPlanning(
            HostSessions sessions,
            StartableHosts startableHosts,
            HostColocation colocation,
            StragglingRuns straggling,
            RunTimeModel runTimes,
            RunStops stops,
            LoopMetrics metrics) {
        this.sessions = sessions;
        this.startableHosts = startableHosts;
        this.colocation = colocation;
        this.straggling = straggling;
        this.runTimes = runTimes;
        this.stops = stops;
        this.metrics = metrics;
    }

    /** Returns whether a run begins at the lowest speed by the last plan. */
    boolean isThrottledStart(RunId run) {
        return throttledStarts.contains(run);
    }

    /** Adds the starts of a new plan to a batch, and has the runs stopped that it moves. */
    void addTo(List<WorkflowCommand> batch, WorkflowState state, long nowNanos, long nowMillis) {
        waits.update(state.pendingSteps(), nowNanos);
        RelocationCandidates relocations = relocations(state, nowNanos);
        CopyCandidates copies = straggling.candidates(state);
        if (state.pendingSteps().isEmpty()
                && relocations.isEmpty()
                && copies.stragglers().isEmpty()) {
            return;
        }
        updateTurns(state, nowNanos);
        PlanInput input = new PlanInput(
                startableHosts.freeCapacities(state, nowNanos),
                step -> waits.isOverdue(step, nowNanos),
                colocation.controller(),
                relocations,
                copies,
                turns,
                runTimes,
                nowMillis);
        StartPlan plan = StartPlanner.plan(state, input);
        plan.starts()
                .forEach(start -> turns.recordStart(start.run().run().task().step(), nowNanos));
        plan.copies().forEach(copy -> addCopy(state, copy, batch));
        batch.addAll(plan.starts());
        throttledStarts = plan.throttledStarts();
        plan.migrations().forEach(stops::migrate);
        plan.drainMoves().forEach(stops::moveOff);
    }

    private RelocationCandidates relocations(WorkflowState state, long nowNanos) {
        return new RelocationCandidates(
                colocation.throttledRuns(state, sessions.byHostId(), nowNanos),
                HostDrains.movingRuns(state, sessions.all(), runTimes),
                run -> HostDrains.isAtWork(sessions.byHostId(), run, nowNanos));
    }

    private void updateTurns(WorkflowState state, long nowNanos) {
        if (startableHosts.failureBackoff().isAnyBackingOff(nowNanos)) {
            turns.update(state.pendingSteps(), nowNanos);
        } else {
            turns.clear();
        }
    }

    private void addCopy(WorkflowState state, StartRun copy, List<WorkflowCommand> batch) {
        LOG.log(WorkflowEvent.COPY_STARTED, copy.run().run(), copy.run().host().id());
        metrics.copyStarted();
        straggling.copyPlanned(state, copy.run().run());
        batch.add(copy);
    }
}
