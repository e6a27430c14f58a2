package org.nettlering.domain.workflow;

import java.util.ArrayList;
import java.util.List;

/** The steps of one occurrence of a job. Belongs to a {@link WorkflowState}, which alone changes it. Not thread-safe. */
final class Occurrence {
    /** The steps by number. */
    private final List<StepProgress> steps = new ArrayList<>();

    Occurrence(Job job, int number) {
        List<StepSpecification> specifications = job.definition().steps();
        for (int step = 0; step < specifications.size(); step++) {
            steps.add(new StepProgress(job, new StepId(job.id(), number, step), specifications.get(step)));
        }
    }

    Occurrence(Job job, WorkflowStateSnapshot.OccurrenceSnapshot snapshot) {
        List<StepSpecification> specifications = job.definition().steps();
        for (int step = 0; step < specifications.size(); step++) {
            StepId stepId = new StepId(job.id(), snapshot.number(), step);
            steps.add(new StepProgress(
                    job, stepId, specifications.get(step), snapshot.steps().get(step)));
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

    /** Tells whether every step that a step depends on is done. */
    boolean areDependenciesDone(StepProgress step) {
        for (int dependency : step.specification().dependsOn()) {
            if (!steps.get(dependency).isDone()) {
                return false;
            }
        }
        return true;
    }

    boolean isDone() {
        return steps.stream().allMatch(StepProgress::isDone);
    }
}
