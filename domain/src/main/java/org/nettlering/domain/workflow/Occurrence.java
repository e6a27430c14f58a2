package org.nettlering.domain.workflow;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.workflow.runtime.RunTimeModel;

/** The steps of one occurrence of a job. Owned by a {@link WorkflowState}, which alone modifies it. Not thread-safe. */
final class Occurrence {
    private final List<StepProgress> steps = new ArrayList<>();

    /** The remaining work when {@link #unfinishedThen} tasks were unfinished, or null if it was not needed yet. */
    private @Nullable RemainingWork remainingWork;

    private int unfinishedThen;

    /** The version of the run times from which it was computed. */
    private long runTimesThen;

    /** The model from which it was computed, or null if it was not needed yet. */
    private @Nullable RunTimeModel modelThen;

    Occurrence(Job job, int number) {
        List<StepSpecification> specifications = job.definition().steps();
        for (int index = 0; index < specifications.size(); index++) {
            steps.add(new StepProgress(job, new StepId(job.id(), number, index), specifications.get(index)));
        }
    }

    Occurrence(Job job, WorkflowStateSnapshot.OccurrenceSnapshot snapshot) {
        List<StepSpecification> specifications = job.definition().steps();
        for (int index = 0; index < specifications.size(); index++) {
            StepId stepId = new StepId(job.id(), snapshot.number(), index);
            steps.add(new StepProgress(
                    job, stepId, specifications.get(index), snapshot.steps().get(index)));
        }
    }

    WorkflowStateSnapshot.OccurrenceSnapshot snapshot(int number) {
        return new WorkflowStateSnapshot.OccurrenceSnapshot(
                number, steps.stream().map(StepProgress::snapshot).toList());
    }

    StepProgress step(int number) {
        return steps.get(number);
    }

    List<StepProgress> steps() {
        return steps;
    }

    /** Returns whether all dependencies of a step are done. */
    boolean areDependenciesDone(StepProgress step) {
        for (int dependency : step.specification().dependsOn()) {
            if (!steps.get(dependency).isDone()) {
                return false;
            }
        }
        return true;
    }

    /** Returns the remaining work; computes it only if a task has been done or run times have been learned since. */
    @SuppressWarnings("ReferenceEquality")
    RemainingWork remainingWork(RunTimeModel runTimes) {
        int unfinished = 0;
        for (StepProgress step : steps) {
            unfinished += step.unfinishedCount();
        }
        RemainingWork known = remainingWork;
        boolean outdated = unfinished != unfinishedThen || runTimes.version() != runTimesThen || runTimes != modelThen;
        if (known == null || outdated) {
            known = RemainingWork.of(steps, runTimes);
            remainingWork = known;
            unfinishedThen = unfinished;
            runTimesThen = runTimes.version();
            modelThen = runTimes;
        }
        return known;
    }

    boolean isDone() {
        return steps.stream().allMatch(StepProgress::isDone);
    }
}
