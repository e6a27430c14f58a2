package org.nettlering.control.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.StepProgress;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.copy.StragglerPolicy;
import org.nettlering.domain.workflow.copy.StragglingRun;
import org.nettlering.domain.workflow.host.HostSession;
import org.nettlering.domain.workflow.host.RunUsage;
import org.nettlering.domain.workflow.placement.CopyCandidates;
import org.nettlering.domain.workflow.runtime.RunTimeModel;

/**
 * The runs of one leadership that are far behind their siblings, and the copies that were started.
 *
 * <p>Not thread-safe: belongs to a {@link WorkflowLeadership}.
 */
final class StragglingRuns {
    private static final int FULL_PERCENT = 100;

    private final Map<RunId, ActiveRun> stragglers = new LinkedHashMap<>();

    /** The processors of each copy whose termination is not committed, in millicores. */
    private final Map<RunId, Long> millicoresByCopy = new HashMap<>();

    StragglingRuns() {}

    /** Updates what is known of the runs on a host after a poll response. */
    void update(WorkflowState state, HostSession session, RunTimeModel runTimes, long nowNanos) {
        for (RunUsage usage : session.runs().usages()) {
            StepProgress step = state.step(usage.run().task().step()).orElse(null);
            if (step == null || !StragglerPolicy.allowsCopies(step.specification())) {
                continue;
            }
            if (isStraggling(step, usage, runTimes, nowNanos)) {
                stragglers.put(usage.run(), new ActiveRun(usage.run(), session.host(), ""));
            } else {
                stragglers.remove(usage.run());
            }
        }
    }

    private static boolean isStraggling(StepProgress step, RunUsage usage, RunTimeModel runTimes, long nowNanos) {
        return usage.speedPercent() == FULL_PERCENT
                && StragglerPolicy.isStraggling(
                        runTimes.siblingCount(step.id()),
                        step.estimateRunTime(runTimes).expectedMillis(),
                        TimeUnit.NANOSECONDS.toMillis(nowNanos - usage.startNanos()),
                        usage.progressPercent());
    }

    /** Returns the runs that may be copied now. */
    CopyCandidates candidates(WorkflowState state) {
        List<StragglingRun> present = new ArrayList<>();
        for (ActiveRun run : stragglers.values()) {
            state.step(run.run().task().step()).ifPresent(step -> present.add(new StragglingRun(run, step)));
        }
        long copiedMillicores =
                millicoresByCopy.values().stream().mapToLong(Long::longValue).sum();
        return new CopyCandidates(present, copiedMillicores);
    }

    void copyPlanned(WorkflowState state, RunId copy) {
        state.step(copy.task().step())
                .ifPresent(step ->
                        millicoresByCopy.put(copy, step.specification().demand().millicores()));
    }

    void runTerminated(RunId run) {
        stragglers.remove(run);
        millicoresByCopy.remove(run);
    }

    /** Forgets what has no active run, such as planned copies whose starts had no effect. */
    void retainActive(WorkflowState state) {
        millicoresByCopy.keySet().removeIf(copy -> !state.isActive(copy));
        stragglers.keySet().removeIf(run -> !state.isActive(run));
    }
}
