package org.nettlering.domain.workflow.runtime;

/**
 * The estimated run time of a task at full speed.
 *
 * <p>Immutable and thread-safe.
 *
 * @param expectedMillis the expected run time, in milliseconds
 * @param shortestMillis the run time that most tasks reach at least, in milliseconds
 */
public record RunTimeEstimate(long expectedMillis, long shortestMillis) {
    /** The share of its declared run time that a task needs at least; declarations are often inaccurate. */
    private static final int MIN_DECLARED_PERCENT = 60;

    /**
     * Returns the estimate for a task of which nothing but the declaration is known.
     *
     * @param declaredMillis the declared run time, in milliseconds
     * @return the estimate, never null
     */
    public static RunTimeEstimate ofDeclared(long declaredMillis) {
        return new RunTimeEstimate(declaredMillis, declaredMillis * MIN_DECLARED_PERCENT / 100);
    }
}
