package org.nettlering.wire.workflow;

import java.time.Duration;
import org.nettlering.domain.workflow.JobPhase;

/** A response of the leader to a request about a job or a queue. */
public sealed interface JobResponse {
    /** The request took effect, now or at an earlier attempt. */
    record Done() implements JobResponse {}

    /**
     * The phase of a job.
     *
     * @param phase the phase, not null
     */
    record Phase(JobPhase phase) implements JobResponse {}

    /**
     * The number of jobs of a queue that have not started.
     *
     * @param jobs the number of jobs
     */
    record Pending(int jobs) implements JobResponse {}

    /** No queue is configured for this authority and path. */
    record NoQueue() implements JobResponse {}

    /** The queue has no such job. */
    record NoJob() implements JobResponse {}

    /** No queue configuration has been accepted yet. */
    record NoConfiguration() implements JobResponse {}

    /**
     * The job was not admitted and never runs.
     *
     * @param retryAfter the delay after which capacity may be available, not null
     */
    record Rejected(Duration retryAfter) implements JobResponse {}
}
