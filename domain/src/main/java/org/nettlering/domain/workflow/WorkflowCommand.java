package org.nettlering.domain.workflow;

import java.util.List;

/** A command of the replicated log that changes a {@link WorkflowState}. */
public sealed interface WorkflowCommand {
    /**
     * Accepts a job. Has no effect if a job with this id is known.
     *
     * @param jobId the id that the caller chose, not null
     * @param terms the terms of the job at its acceptance, not null
     * @param definition the definition of the job, not null
     * @param acceptedMillis when the job was accepted, in milliseconds since 1970
     */
    record SubmitJob(String jobId, JobTerms terms, JobDefinition definition, long acceptedMillis)
            implements WorkflowCommand {}

    /**
     * Cancels a job that is not finished.
     *
     * @param jobId the id of the job, not null
     */
    record CancelJob(String jobId) implements WorkflowCommand {}

    /**
     * Starts an occurrence of a periodic job.
     *
     * @param jobId the id of the job, not null
     * @param occurrence the number of the occurrence, from zero
     */
    record StartOccurrence(String jobId, int occurrence) implements WorkflowCommand {}

    /**
     * Records the start of a run. Committed before the start command is sent to the host.
     *
     * @param run the run, not null
     */
    record StartRun(ActiveRun run) implements WorkflowCommand {}

    /**
     * Records the termination of a run. Committed before the host may discard the termination.
     *
     * @param run the run, not null
     * @param status the terminal status, not null
     * @param checkpoint the checkpoint that the run saved, empty if none, not null
     */
    record RecordTermination(RunId run, TerminalStatus status, String checkpoint) implements WorkflowCommand {}

    /**
     * Removes a finished job that has no active runs.
     *
     * @param jobId the id of the job, not null
     */
    record RemoveJob(String jobId) implements WorkflowCommand {}

    /**
     * Raises the fencing token that the leader uses next, so that hosts ignore commands that it sent before. Part of a
     * batch.
     */
    record RaiseFence() implements WorkflowCommand {}

    /**
     * Starts or finishes the evacuation of a failure domain. Has no effect if the evacuations have changed since the sender
     * read them.
     *
     * @param failureDomain the failure domain, not null
     * @param evacuated true to start the evacuation, false to finish it
     * @param expectedVersion the version of the evacuations that the sender has read
     */
    record ChangeEvacuation(String failureDomain, boolean evacuated, long expectedVersion) implements WorkflowCommand {}

    /**
     * Several commands in one log entry.
     *
     * @param commands the commands in the order in which they apply, not null
     */
    record Batch(List<WorkflowCommand> commands) implements WorkflowCommand {
        /** Copies the list of commands. */
        public Batch {
            commands = List.copyOf(commands);
        }
    }
}
