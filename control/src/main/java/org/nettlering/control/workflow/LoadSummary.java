package org.nettlering.control.workflow;

import java.util.Collection;
import org.nettlering.domain.workflow.StepProgress;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.host.HostSession;
import org.nettlering.domain.workflow.host.RunUsage;

/**
 * What is at work and what waits, summed over all hosts.
 *
 * <p>For logs and metrics; decides nothing. Immutable and thread-safe.
 *
 * @param servingRuns the runs that serve users and were listed by their hosts
 * @param fillingRuns the runs that only fill and were listed by their hosts
 * @param fillingMillicores the processors that those ask for, in millicores
 * @param pacedMillicores the processors that those ask for at their paces, in millicores
 * @param usedMillicores the processors that those used when measured last, in millicores
 * @param otherRuns the runs of any other kind that were listed by their hosts
 * @param waitingFilling the tasks that only fill and wait
 * @param waitingOthers the other tasks that wait
 */
record LoadSummary(
        int servingRuns,
        int fillingRuns,
        long fillingMillicores,
        long pacedMillicores,
        long usedMillicores,
        int otherRuns,
        int waitingFilling,
        int waitingOthers) {
    private static final int WHOLE_PERCENT = 100;

    /** Nothing at work and nothing waiting. */
    private static final LoadSummary NONE = new LoadSummary(0, 0, 0, 0, 0, 0, 0, 0);

    static LoadSummary of(WorkflowState state, Collection<HostSession> sessions) {
        LoadSummary sum = NONE;
        for (HostSession session : sessions) {
            for (RunUsage load : session.runUsages()) {
                StepSpecification step = state.step(load.run().task().step())
                        .map(StepProgress::specification)
                        .orElse(null);
                sum = step == null ? sum : sum.plus(step, load);
            }
        }
        for (StepProgress step : state.pendingSteps()) {
            sum = sum.plusWaiting(step.specification().has(StepTrait.BEST_EFFORT), step.pendingCount());
        }
        return sum;
    }

    private LoadSummary plus(StepSpecification step, RunUsage load) {
        int serving = step.isLatencyCritical() ? 1 : 0;
        int filling = step.has(StepTrait.BEST_EFFORT) ? 1 : 0;
        long asked = filling * step.demand().millicores();
        return new LoadSummary(
                servingRuns + serving,
                fillingRuns + filling,
                fillingMillicores + asked,
                pacedMillicores + asked * load.speedPercent() / WHOLE_PERCENT,
                usedMillicores + filling * load.load(),
                otherRuns + 1 - Math.max(serving, filling),
                waitingFilling,
                waitingOthers);
    }

    private LoadSummary plusWaiting(boolean fills, int tasks) {
        return new LoadSummary(
                servingRuns,
                fillingRuns,
                fillingMillicores,
                pacedMillicores,
                usedMillicores,
                otherRuns,
                waitingFilling + (fills ? tasks : 0),
                waitingOthers + (fills ? 0 : tasks));
    }
}
