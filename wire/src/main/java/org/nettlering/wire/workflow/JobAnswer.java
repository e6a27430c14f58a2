package org.nettlering.wire.workflow;

import java.time.Duration;
import org.nettlering.domain.workflow.JobPhase;

/** What the leader answers to a request about a job or a queue. */
public sealed interface JobAnswer {
    /** The request took effect, or had before. */
    record Done() implements JobAnswer {}

    /**
     * How far a job is.
     *
     * @param phase the phase, not null
     */
    record Phase(JobPhase phase) implements JobAnswer {}

    /**
     * How many jobs of a queue have not started.
     *
     * @param jobs the number
     */
    record Pending(int jobs) implements JobAnswer {}

    /** No queue takes requests for this authority and path. */
    record NoQueue() implements JobAnswer {}

    /** The queue has no such job. */
    record NoJob() implements JobAnswer {}

    /** No configuration of queues was accepted yet. */
    record NoConfiguration() implements JobAnswer {}

    /**
     * The job was not accepted and never runs.
     *
     * @param retryAfter when there should be room, not null
     */
    record Rejected(Duration retryAfter) implements JobAnswer {}
}
