package org.nettlering.domain.workflow;

/**
 * How the tasks of a step bear the others on their host.
 *
 * <p>Immutable and thread-safe.
 *
 * @param image what the tasks run; tasks of one image behave alike; empty if not told, not null
 * @param latencyTargetMillis the bound on the tail of the tasks' response times, in milliseconds, zero if they serve nobody
 * @param maxUnavailable how many tasks may be unavailable at once because of the system, negative if not told
 */
public record StepServiceLevel(String image, long latencyTargetMillis, int maxUnavailable) {
    /** Nothing is told. */
    public static final StepServiceLevel UNSPECIFIED = new StepServiceLevel("", 0, -1);
}
