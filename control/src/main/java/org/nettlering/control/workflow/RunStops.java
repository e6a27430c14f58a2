package org.nettlering.control.workflow;

import java.util.function.Consumer;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.Job;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.StepProgress;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.host.HostSession;
import org.nettlering.domain.workflow.host.RunUsage;
import org.nettlering.domain.workflow.host.StallDetector;
import org.nettlering.runtime.log.EventLogger;

/**
 * Requests the stops of runs and records the reason of each.
 *
 * <p>A run is stopped once, for the first reason. Not thread-safe.
 */
final class RunStops {
    private static final EventLogger LOG = EventLogger.of(RunStops.class);

    private final HostSessions sessions;

    private final LoopMetrics metrics;

    /** Takes the id of each host on which a stop is due. */
    private final Consumer<String> changedHostIds;

    RunStops(HostSessions sessions, LoopMetrics metrics, Consumer<String> changedHostIds) {
        this.sessions = sessions;
        this.metrics = metrics;
        this.changedHostIds = changedHostIds;
    }

    /** Stops a throttled run, so that its task starts on another host. */
    void migrate(ActiveRun run) {
        LOG.log(WorkflowEvent.RUN_MIGRATED, run.run(), run.host().id());
        stop(run, StopReason.MIGRATED);
    }

    /** Stops a run on a host that is to be emptied. */
    void moveOff(ActiveRun run) {
        LOG.log(WorkflowEvent.RUN_MOVED, run.run(), run.host().id());
        stop(run, StopReason.HOST_EMPTIED);
    }

    /** Stops the stalled runs on a host, so that their tasks start elsewhere; returns how many there are. */
    int stopStalled(WorkflowState state, HostSession session, long nowNanos) {
        int stalled = 0;
        for (RunUsage usage : session.runs().usages()) {
            boolean isStalled = state.step(usage.run().task().step())
                    .map(StepProgress::specification)
                    .filter(step -> StallDetector.isStalled(step, usage, nowNanos))
                    .isPresent();
            if (isStalled) {
                stop(session, usage.run(), StopReason.STALLED);
                stalled++;
            }
        }
        return stalled;
    }

    /** Stops the other runs of a completed task. */
    void stopDuplicates(WorkflowState state, StepProgress step, RunId completedRun) {
        if (step.task(completedRun.task().index()).isDone()) {
            step.task(completedRun.task().index()).activeRuns().forEach(run -> stopIfUnneeded(state, run));
        }
    }

    /** Stops all runs of a finished job. */
    void stopRuns(Job job) {
        metrics.diagnostics().runs().jobFinished(job.id(), job.phase());
        for (StepProgress step : job.steps()) {
            if (step.activeRunCount() == 0) {
                continue;
            }
            for (int index = 0; index < step.specification().taskCount(); index++) {
                step.task(index).activeRuns().forEach(run -> stop(run, StopReason.ofFinishedJob(job.phase())));
            }
        }
    }

    /** Stops all runs on a host that is shutting down. */
    void stopAll(HostSession session) {
        session.runs().ids().forEach(run -> stop(session, run, StopReason.HOST_SHUTS_DOWN));
    }

    void stopIfUnneeded(WorkflowState state, ActiveRun run) {
        if (!isNeeded(state, run)) {
            stop(run, StopReason.ofUnneeded(state, run.run()));
        }
    }

    /** Returns whether the task of a run is still to be done. */
    private static boolean isNeeded(WorkflowState state, ActiveRun run) {
        return state.job(run.run().task().jobId())
                .filter(job -> job.phase().isOpen())
                .flatMap(job -> job.step(run.run().task().step()))
                .filter(step -> !step.task(run.run().task().index()).isDone())
                .isPresent();
    }

    private void stop(ActiveRun run, StopReason reason) {
        HostSession session = sessions.get(run.host().id());
        if (session != null) {
            stop(session, run.run(), reason);
        }
    }

    private void stop(HostSession session, RunId run, StopReason reason) {
        if (session.runs().requestStop(run)) {
            metrics.diagnostics().runs().stopRequested(run, reason);
            changedHostIds.accept(session.host().id());
        }
    }
}
