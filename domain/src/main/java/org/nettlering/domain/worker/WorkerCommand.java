package org.nettlering.domain.worker;

import org.nettlering.domain.task.JobSpecification;

/**
 * A command to a worker, sent in the response to its report.
 *
 * <p>Each command names a job and an epoch. Commands are idempotent and are repeated until a report shows their effect.
 */
public sealed interface WorkerCommand {
    /** Starts an epoch. If the epoch has run before, the worker reports its termination again instead of starting it. */
    record Start(JobSpecification job, long epoch, long resumeCheckpoint, int speedPercent, long throttleVersion)
            implements WorkerCommand {}

    /** Requests a checkpoint. */
    record Checkpoint(String jobId, long epoch) implements WorkerCommand {}

    /** Changes the speed; the worker ignores a version lower than the last one received. */
    record Throttle(String jobId, long epoch, int speedPercent, long throttleVersion) implements WorkerCommand {}

    /** Stops an epoch; the worker never starts it later and reports its termination. */
    record Stop(String jobId, long epoch) implements WorkerCommand {}

    /** Acknowledges a termination; the worker need not report it again. */
    record Acknowledge(String jobId, long epoch) implements WorkerCommand {}
}
