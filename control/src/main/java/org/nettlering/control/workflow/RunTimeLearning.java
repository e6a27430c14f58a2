package org.nettlering.control.workflow;

import java.util.Collection;
import org.nettlering.domain.workflow.StepProgress;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.host.HostSession;
import org.nettlering.domain.workflow.runtime.RunTimeModel;

/**
 * Learns from the runs that were done in one leadership how long tasks take and at which rate work ends.
 *
 * <p>Only runs teach that did the whole work of their task at full speed under this leadership. Not thread-safe.
 */
final class RunTimeLearning {
    private final RunTimeModel runTimes;

    private final JobAdmission admission;

    RunTimeLearning(RunTimeModel runTimes, JobAdmission admission) {
        this.runTimes = runTimes;
        this.admission = admission;
    }

    /** Learns from the terminations that a response of a host proves. */
    void learn(WorkflowState state, HostSession session, Collection<RecordTermination> terminations, long nowNanos) {
        for (RecordTermination termination : terminations) {
            if (termination.status() != TerminalStatus.DONE) {
                continue;
            }
            session.runs()
                    .uninterruptedRunTime(termination.run(), nowNanos)
                    .ifPresent(runTime -> state.step(termination.run().task().step())
                            .filter(step -> !step.specification().has(StepTrait.LONG_RUNNING))
                            .ifPresent(step -> learn(step, runTime.toMillis(), nowNanos)));
        }
    }

    private void learn(StepProgress step, long runTimeMillis, long nowNanos) {
        admission.taskDone(step, runTimeMillis, nowNanos);
        // A best-effort run takes longer the less the others on its host leave it.
        if (!step.specification().has(StepTrait.BEST_EFFORT)) {
            long declaredMillis = step.specification().estimatedRuntimeMillis();
            runTimes.add(step.job().terms().queue(), step.id(), declaredMillis, runTimeMillis);
        }
    }
}
