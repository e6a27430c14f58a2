package org.nettlering.domain.workflow.runtime;

import java.util.LinkedHashMap;
import java.util.Map;
import org.nettlering.domain.workflow.StepId;

/**
 * Learns how long tasks run and estimates it for others.
 *
 * <p>The caller adds only runs that did the whole work of their task at full speed. Without samples the declared run times
 * hold. Memory is bounded, whatever the number of queues and steps. Not thread-safe.
 */
public final class RunTimeModel {
    private static final int MAX_STATISTICS = 4_096;

    private static final int MAX_STEPS = 20_000;

    /** Steps at this position and beyond are taken together. */
    private static final int LAST_POSITION = 15;

    /** The number of samples after which estimates count as changed, at first and in the long run. */
    private static final int FIRST_SAMPLES_PER_VERSION = 32;

    private static final int SAMPLES_PER_VERSION = 512;

    /** The tasks of one step that have ended. */
    private static final class Siblings {
        private int count;

        private long totalMillis;

        private long meanMillis() {
            return totalMillis / count;
        }
    }

    /** What steps have in common that run alike. */
    private record Key(String queue, int position) {}

    private final Map<Key, RunTimeStatistics> statistics = leastRecentlyUsed(MAX_STATISTICS);

    private final Map<StepId, Siblings> siblingsByStep = leastRecentlyUsed(MAX_STEPS);

    private long samples;

    /**
     * Returns a model without samples.
     *
     * @return a new model, never null
     */
    public static RunTimeModel empty() {
        return new RunTimeModel();
    }

    private RunTimeModel() {}

    private static <K, V> Map<K, V> leastRecentlyUsed(int maxSize) {
        return new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > maxSize;
            }
        };
    }

    /**
     * Adds the run of a task that did all its work at full speed.
     *
     * @param queue the queue of the job, not null
     * @param step the step of the task, not null
     * @param declaredMillis the declared run time, in milliseconds
     * @param actualMillis the actual run time, in milliseconds
     */
    public void add(String queue, StepId step, long declaredMillis, long actualMillis) {
        statistics
                .computeIfAbsent(keyOf(queue, step), key -> new RunTimeStatistics())
                .add(declaredMillis, actualMillis);
        Siblings siblings = siblingsByStep.computeIfAbsent(step, id -> new Siblings());
        siblings.count++;
        siblings.totalMillis += actualMillis;
        samples++;
    }

    /**
     * Estimates the run time of the tasks of a step.
     *
     * @param queue the queue of the job, not null
     * @param step the step, not null
     * @param declaredMillis the declared run time, in milliseconds
     * @return the estimate, never null
     */
    public RunTimeEstimate estimate(String queue, StepId step, long declaredMillis) {
        Siblings siblings = siblingsByStep.get(step);
        if (siblings != null) {
            return RunTimeEstimate.ofDeclared(siblings.meanMillis());
        }
        RunTimeStatistics known = statistics.get(keyOf(queue, step));
        return known == null ? RunTimeEstimate.ofDeclared(declaredMillis) : known.estimate(declaredMillis);
    }

    /**
     * Returns how many tasks of a step have ended whose run times are known.
     *
     * @param step the step, not null
     * @return the number of samples of the step
     */
    public int siblingCount(StepId step) {
        Siblings siblings = siblingsByStep.get(step);
        return siblings == null ? 0 : siblings.count;
    }

    /**
     * Returns a number that changes after some dozen samples at first and some hundred later, so that results derived from
     * estimates can be kept for a while.
     *
     * @return the version of the estimates
     */
    public long version() {
        return samples < SAMPLES_PER_VERSION
                ? samples / FIRST_SAMPLES_PER_VERSION
                : samples / SAMPLES_PER_VERSION + SAMPLES_PER_VERSION / FIRST_SAMPLES_PER_VERSION;
    }

    private static Key keyOf(String queue, StepId step) {
        return new Key(queue, Math.min(LAST_POSITION, step.number()));
    }
}
