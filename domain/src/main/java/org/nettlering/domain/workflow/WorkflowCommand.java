package org.nettlering.domain.workflow;

import java.util.List;

/** A change of the replicated jobs. */
public sealed interface WorkflowCommand {
    /**
     * Accepts a job; without effect if the id is known.
     *
     * @param jobId the id that the caller chose, not null
     * @param terms the terms of the job, not null
     * @param definition what to run, not null
     * @param acceptedMillis when it was accepted, in milliseconds since 1970
     */
    record SubmitJob(String jobId, JobTerms terms, JobDefinition definition, long acceptedMillis)
            implements WorkflowCommand {}

    /**
     * Cancels a job that has not ended.
     *
     * @param jobId the job, not null
     */
    record CancelJob(String jobId) implements WorkflowCommand {}

    /**
     * Begins an occurrence of a timed job.
     *
     * @param jobId the job, not null
     * @param occurrence the number of the occurrence, from zero
     */
    record StartOccurrence(String jobId, int occurrence) implements WorkflowCommand {}

    /**
     * Starts a run; logged before the order is sent.
     *
     * @param run the run, not null
     */
    record StartRun(ActiveRun run) implements WorkflowCommand {}

    /**
     * Ends a run; logged before the host may forget the end.
     *
     * @param run the run, not null
     * @param status how it ended, not null
     * @param checkpoint the progress that was saved, empty if none, not null
     */
    record RecordTermination(RunId run, TerminalStatus status, String checkpoint) implements WorkflowCommand {}

    /**
     * Forgets a job that ended long ago.
     *
     * @param jobId the job, not null
     */
    record RemoveJob(String jobId) implements WorkflowCommand {}

    /**
     * Several commands in one entry of the log.
     *
     * @param commands the commands in their order, not null
     */
    record Batch(List<WorkflowCommand> commands) implements WorkflowCommand {
        /** Copies the commands. */
        public Batch {
            commands = List.copyOf(commands);
        }
    }
}
