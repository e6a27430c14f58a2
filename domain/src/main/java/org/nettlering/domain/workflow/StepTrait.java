package org.nettlering.domain.workflow;

/** A property of a step that changes how its tasks are run. */
public enum StepTrait {
    /** The tasks work only together and end together. */
    GANG,
    /** The tasks are slow when they run on more than one rack. */
    RACK_LOCAL,
    /** Copies of a task may run in parallel; the first one to finish counts. */
    SPECULATIVE,
    /** The tasks run until the job is cancelled. */
    LONG_RUNNING,
    /** The tasks save their progress. */
    CHECKPOINTING,
    /** The tasks use the processor time that other tasks leave; their processors are not committed. */
    BEST_EFFORT
}
