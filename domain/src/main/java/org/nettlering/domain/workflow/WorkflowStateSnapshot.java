package org.nettlering.domain.workflow;

import java.util.List;

/**
 * The whole of a {@link WorkflowState}, for snapshots.
 *
 * <p>Immutable and thread-safe.
 *
 * @param jobs the jobs, in the order of their acceptance, not null
 */
public record WorkflowStateSnapshot(List<JobSnapshot> jobs) {
    /** Copies the jobs. */
    public WorkflowStateSnapshot {
        jobs = List.copyOf(jobs);
    }

    /**
     * One job.
     *
     * @param id the id, not null
     * @param terms the terms, not null
     * @param definition what to run, not null
     * @param acceptedMillis when it was accepted, in milliseconds since 1970
     * @param phase how far it is, not null
     * @param occurrences the occurrences that have begun, not null
     */
    public record JobSnapshot(
            String id,
            JobTerms terms,
            JobDefinition definition,
            long acceptedMillis,
            JobPhase phase,
            List<OccurrenceSnapshot> occurrences) {
        /** Copies the occurrences. */
        public JobSnapshot {
            occurrences = List.copyOf(occurrences);
        }
    }

    /**
     * One occurrence.
     *
     * @param number the number, from zero
     * @param steps the steps by number, not null
     */
    public record OccurrenceSnapshot(int number, List<StepSnapshot> steps) {
        /** Copies the steps. */
        public OccurrenceSnapshot {
            steps = List.copyOf(steps);
        }
    }

    /**
     * One step.
     *
     * @param lastFailedGangRun the last run of a gang that counted as a failure
     * @param tasks the tasks by index, not null
     */
    public record StepSnapshot(int lastFailedGangRun, List<TaskSnapshot> tasks) {
        /** Copies the tasks. */
        public StepSnapshot {
            tasks = List.copyOf(tasks);
        }
    }

    /**
     * One task.
     *
     * @param lastRunNumber the highest number of a run
     * @param failures how many runs failed
     * @param done whether the work is done
     * @param checkpoint the newest saved progress, empty if none, not null
     * @param activeRuns the runs whose end is not known, not null
     * @param unconfirmedRuns the numbers of the runs whose end was inferred and not listed by their host since, not null
     */
    public record TaskSnapshot(
            int lastRunNumber,
            int failures,
            boolean done,
            String checkpoint,
            List<ActiveRun> activeRuns,
            List<Integer> unconfirmedRuns) {
        /** Copies the runs. */
        public TaskSnapshot {
            activeRuns = List.copyOf(activeRuns);
            unconfirmedRuns = List.copyOf(unconfirmedRuns);
        }
    }
}
