package org.nettlering.control.workflow;

import java.util.Collection;
import org.nettlering.domain.workflow.StepProgress;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.host.HostSession;
import org.nettlering.domain.workflow.host.RunUsage;

/**
 * The running and pending work, summed over all hosts.
 *
 * <p>For logs and metrics only. The component names appear in the log. Immutable and thread-safe.
 *
 * @param servingRuns the number of latency-critical runs reported by their hosts
 * @param fillingRuns the number of best-effort runs reported by their hosts
 * @param fillingMillicores the processors that the best-effort runs request, in millicores
 * @param pacedMillicores the same processors multiplied by the speed of each run, in millicores
 * @param usedMillicores the processors that the best-effort runs used at the last measurement, in millicores
 * @param otherRuns the number of all other runs reported by their hosts
 * @param waitingFilling the number of pending best-effort tasks
 * @param waitingOthers the number of all other pending tasks
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
    private static final int FULL_PERCENT = 100;

    private static final LoadSummary NONE = new LoadSummary(0, 0, 0, 0, 0, 0, 0, 0);

    static LoadSummary of(WorkflowState state, Collection<HostSession> sessions) {
        LoadSummary sum = NONE;
        for (HostSession session : sessions) {
            for (RunUsage usage : session.runs().usages()) {
                StepSpecification step = state.step(usage.run().task().step())
                        .map(StepProgress::specification)
                        .orElse(null);
                sum = step == null ? sum : sum.plusRun(step, usage);
            }
        }
        for (StepProgress step : state.pendingSteps()) {
            sum = sum.plusPending(step.specification().has(StepTrait.BEST_EFFORT), step.pendingCount());
        }
        return sum;
    }

    private LoadSummary plusRun(StepSpecification step, RunUsage usage) {
        int latencyCritical = step.isLatencyCritical() ? 1 : 0;
        int bestEffort = step.has(StepTrait.BEST_EFFORT) ? 1 : 0;
        long requestedMillicores = bestEffort * step.demand().millicores();
        return new LoadSummary(
                servingRuns + latencyCritical,
                fillingRuns + bestEffort,
                fillingMillicores + requestedMillicores,
                pacedMillicores + requestedMillicores * usage.speedPercent() / FULL_PERCENT,
                usedMillicores + bestEffort * usage.load(),
                otherRuns + 1 - Math.max(latencyCritical, bestEffort),
                waitingFilling,
                waitingOthers);
    }

    private LoadSummary plusPending(boolean isBestEffort, int tasks) {
        return new LoadSummary(
                servingRuns,
                fillingRuns,
                fillingMillicores,
                pacedMillicores,
                usedMillicores,
                otherRuns,
                waitingFilling + (isBestEffort ? tasks : 0),
                waitingOthers + (isBestEffort ? 0 : tasks));
    }
}
