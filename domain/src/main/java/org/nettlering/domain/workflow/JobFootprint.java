package org.nettlering.domain.workflow;

/**
 * Estimates the memory that a member spends on a job, so that jobs can be limited by it.
 *
 * <p>Counts texts and dependencies by their size, and steps by a constant each. Tasks are limited by their number and not
 * included. Never below what the definition itself takes as text.
 */
public final class JobFootprint {
    /** A job, its terms and its places in the tables, in bytes. */
    private static final long JOB_BYTES = 400;

    /** The specification of a step without its texts, in bytes. */
    private static final long STEP_BYTES = 250;

    /** The progress of a step without its tasks, in bytes. */
    private static final long STEP_PROGRESS_BYTES = 500;

    /** A text without its characters, in bytes. */
    private static final long TEXT_BYTES = 40;

    /** The number of an earlier step, in bytes. */
    private static final long DEPENDENCY_BYTES = 20;

    private JobFootprint() {}

    /**
     * Returns the memory that the definition takes as long as the job is known.
     *
     * @param definition the definition, not null
     * @return the estimate in bytes, positive
     */
    public static long definitionBytes(JobDefinition definition) {
        long sum = JOB_BYTES + textBytes(definition.taskSpecification());
        for (StepSpecification step : definition.steps()) {
            sum += STEP_BYTES
                    + DEPENDENCY_BYTES * step.dependsOn().size()
                    + textBytes(step.placementConstraints().dataRack())
                    + textBytes(step.placementConstraints().requiredLabel())
                    + textBytes(step.serviceLevel().image());
        }
        return sum;
    }

    /**
     * Returns the memory that the progress of one occurrence takes until the job is finished.
     *
     * @param definition the definition, not null
     * @return the estimate in bytes, positive
     */
    public static long progressBytes(JobDefinition definition) {
        return STEP_PROGRESS_BYTES * definition.steps().size();
    }

    /**
     * Returns the memory that a job of one occurrence takes until it is finished.
     *
     * @param definition the definition, not null
     * @return the estimate in bytes, positive
     */
    public static long unfinishedBytes(JobDefinition definition) {
        return definitionBytes(definition) + progressBytes(definition);
    }

    private static long textBytes(String text) {
        return text.isEmpty() ? 0 : TEXT_BYTES + text.length();
    }
}
