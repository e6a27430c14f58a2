package org.nettlering.wire.workflow;

import java.time.Duration;
import org.nettlering.domain.workflow.JobPhase;

/** What the leader answers to a request about a job or a queue. */
public sealed interface JobResponse {
    /** The request took effect, or had before. */
    record Done() implements JobResponse {}

    /**
     * How far a job is.
     *
     * @param phase the phase, not null
     */
    record Phase(JobPhase phase) implements JobResponse {}

    /**
     * How many jobs of a queue have not started.
     *
     * @param jobs the number
     */
    record Pending(int jobs) implements JobResponse {}

    /** No queue takes requests for this authority and path. */
    record NoQueue() implements JobResponse {}

    /** The queue has no such job. */
    record NoJob() implements JobResponse {}

    /** No configuration of queues was accepted yet. */
    record NoConfiguration() implements JobResponse {}

    /**
     * The job was not accepted and never runs.
     *
     * @param retryAfter when there should be room, not null
     */
    record Rejected(Duration retryAfter) implements JobResponse {}
}
