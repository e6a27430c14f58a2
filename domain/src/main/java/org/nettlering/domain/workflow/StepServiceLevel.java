package org.nettlering.domain.workflow;

/**
 * The image, latency target and availability requirement of a step's tasks.
 *
 * <p>Immutable and thread-safe.
 *
 * @param image the container image of the tasks, empty if not specified, not null; tasks of one image behave alike
 * @param latencyTargetMillis the bound on the tail latency of the tasks, in milliseconds, zero if they are not
 *     latency-critical
 * @param maxUnavailable how many tasks the system may make unavailable at once, negative if not specified
 */
public record StepServiceLevel(String image, long latencyTargetMillis, int maxUnavailable) {
    /** Nothing is specified. */
    public static final StepServiceLevel UNSPECIFIED = new StepServiceLevel("", 0, -1);
}
