package org.nettlering.domain.workflow;

import java.util.List;

/**
 * A snapshot of a {@link WorkflowState}, from which the state can be restored in full.
 *
 * <p>Immutable and thread-safe.
 *
 * @param jobs the jobs in the order of acceptance, not null
 * @param fenceRaises how often leaders have raised their fencing token
 * @param evacuations the failure domains whose hosts get no new runs, not null
 */
public record WorkflowStateSnapshot(List<JobSnapshot> jobs, long fenceRaises, Evacuations evacuations) {
    /** Copies the list of jobs. */
    public WorkflowStateSnapshot {
        jobs = List.copyOf(jobs);
    }

    /**
     * The snapshot of one job.
     *
     * @param id the id of the job, not null
     * @param terms the terms of the job, not null
     * @param definition the definition of the job, not null
     * @param acceptedMillis when the job was accepted, in milliseconds since 1970
     * @param phase the phase of the job, not null
     * @param occurrences the started occurrences, not null
     */
    public record JobSnapshot(
            String id,
            JobTerms terms,
            JobDefinition definition,
            long acceptedMillis,
            JobPhase phase,
            List<OccurrenceSnapshot> occurrences) {
        /** Copies the list of occurrences. */
        public JobSnapshot {
            occurrences = List.copyOf(occurrences);
        }
    }

    /**
     * The snapshot of one occurrence.
     *
     * @param number the number of the occurrence, from zero
     * @param steps the steps by number, not null
     */
    public record OccurrenceSnapshot(int number, List<StepSnapshot> steps) {
        /** Copies the list of steps. */
        public OccurrenceSnapshot {
            steps = List.copyOf(steps);
        }
    }

    /**
     * The snapshot of one step.
     *
     * @param failedGangRuns the numbers of the runs of a gang that counted as failures, ascending, not null
     * @param tasks the tasks by index, not null
     */
    public record StepSnapshot(List<Integer> failedGangRuns, List<TaskSnapshot> tasks) {
        /** Copies the lists. */
        public StepSnapshot {
            failedGangRuns = List.copyOf(failedGangRuns);
            tasks = List.copyOf(tasks);
        }
    }

    /**
     * The snapshot of one task.
     *
     * @param lastRunNumber the highest run number so far, zero before the first run
     * @param failures how many runs of the task failed
     * @param done whether the work of the task is done
     * @param checkpoint the latest checkpoint, empty if none, not null
     * @param activeRuns the runs without a committed termination, not null
     * @param unconfirmedRuns the numbers of the runs whose termination was inferred and has not been reported by
     *     their host since, not null
     * @param crashRuns the numbers of the runs that had begun just before their host crashed, not null
     * @param unconfirmedCrashRuns the numbers of the runs whose host crashed and of which nothing shows that they had begun,
     *     not null
     */
    public record TaskSnapshot(
            int lastRunNumber,
            int failures,
            boolean done,
            String checkpoint,
            List<ActiveRun> activeRuns,
            List<Integer> unconfirmedRuns,
            List<Integer> crashRuns,
            List<Integer> unconfirmedCrashRuns) {
        /** Copies the lists of runs. */
        public TaskSnapshot {
            activeRuns = List.copyOf(activeRuns);
            unconfirmedRuns = List.copyOf(unconfirmedRuns);
            crashRuns = List.copyOf(crashRuns);
            unconfirmedCrashRuns = List.copyOf(unconfirmedCrashRuns);
        }
    }
}
