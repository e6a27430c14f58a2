package org.nettlering.domain.worker;

import org.nettlering.domain.task.JobSpecification;

/**
 * What a worker is told in the response to its report.
 *
 * <p>Each command names job and epoch, is repeated until a report shows it done, and is safe to receive twice.
 */
public sealed interface WorkerCommand {
    /** Start an epoch; one that ran before is not started again, its end is reported again. */
    record Start(JobSpecification job, long epoch, long resumeCheckpoint, int speedPercent, long throttleVersion)
            implements WorkerCommand {}

    /** Write a checkpoint. */
    record Checkpoint(String jobId, long epoch) implements WorkerCommand {}

    /** Run at another speed; a lower version than the last one received is ignored. */
    record Throttle(String jobId, long epoch, int speedPercent, long throttleVersion) implements WorkerCommand {}

    /** Stop an epoch, never start it later, and report it ended. */
    record Stop(String jobId, long epoch) implements WorkerCommand {}

    /** The end is recorded and need not be reported again. */
    record Acknowledge(String jobId, long epoch) implements WorkerCommand {}
}
