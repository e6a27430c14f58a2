package org.nettlering.domain.workflow;

/** A property of a step that affects how its tasks are scheduled. */
public enum StepTrait {
    /** The tasks form a gang: they can only work together, and they terminate together. */
    GANG,
    /** The tasks are slow if they are spread over several racks. */
    RACK_LOCAL,
    /** Speculative copies of a task may run in parallel; the first copy to finish counts. */
    SPECULATIVE,
    /** The tasks run until the job is cancelled. */
    LONG_RUNNING,
    /** The tasks save checkpoints of their progress. */
    CHECKPOINTING,
    /** The tasks use processor time that other tasks leave idle; no processors are allocated to them. */
    BEST_EFFORT
}
