package org.nettlering.domain.workflow.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.nettlering.domain.workflow.JobDefinition;

/**
 * Decides which share of a pool's processors long-running jobs may hold: what the short work that callers submit leaves.
 *
 * <p>Answers the load in which long-running jobs arrive first and hold the pool when short jobs come, whose callers wait for
 * a result. A long-running job holds its processors until it is cancelled, so one that was admitted cannot be taken back,
 * while the caller of one that was rejected can return. The share therefore falls as soon as short work demands more, but
 * rises above its initial value only once the demand was observed for a while. Best-effort work counts like any other:
 * it uses what long-running tasks leave idle, but is throttled beside them.
 *
 * <p>Not thread-safe.
 */
public final class LongRunningShare {
    /** The largest share, however little short work there is: its demand varies. */
    private static final int MAX_PERCENT = 88;

    /** The largest share while the demand of short work is hardly known. */
    private static final int INITIAL_PERCENT = 60;

    /** Long-running jobs may hold this share whatever the demand of short work is. */
    private static final int GUARANTEED_PERCENT = 50;

    private static final int FULL_PERCENT = 100;

    /** How long the submissions must have been observed before long-running jobs may hold more than at first. */
    private static final Duration OBSERVATION = Duration.ofMinutes(1);

    /** The delay after which a caller should retry: long-running jobs leave one at a time, some seconds apart. */
    private static final Duration RETRY_AFTER = Duration.ofSeconds(5);

    private final long startNanos;

    private final Map<String, ShortWorkDemand> demandByPool = new HashMap<>();

    /**
     * Starts to observe the submissions of short work.
     *
     * @param nowNanos the monotonic time
     * @return a new share, never null
     */
    public static LongRunningShare observedSince(long nowNanos) {
        return new LongRunningShare(nowNanos);
    }

    private LongRunningShare(long nowNanos) {
        startNanos = nowNanos;
    }

    /**
     * Returns the share that long-running jobs may hold now.
     *
     * @param pool the name of the pool, not null
     * @param poolMillicores the processors of its hosts, in millicores, positive
     * @param nowNanos the monotonic time
     * @return the share in percent
     */
    public int percent(String pool, long poolMillicores, long nowNanos) {
        int maxPercent = nowNanos - startNanos < OBSERVATION.toNanos() ? INITIAL_PERCENT : MAX_PERCENT;
        ShortWorkDemand demand = demandByPool.get(pool);
        if (demand == null) {
            return maxPercent;
        }
        long left = FULL_PERCENT - FULL_PERCENT * demand.millicores(nowNanos) / poolMillicores;
        return Math.clamp(left, GUARANTEED_PERCENT, maxPercent);
    }

    /**
     * Records a short job that was submitted.
     *
     * @param definition the job, not null
     * @param pool the name of its pool, not null
     * @param nowNanos the monotonic time
     */
    public void shortJobSubmitted(JobDefinition definition, String pool, long nowNanos) {
        demandByPool
                .computeIfAbsent(pool, key -> ShortWorkDemand.observedSince(nowNanos))
                .add(definition, nowNanos);
    }

    /**
     * Decides whether a job with long-running tasks is admitted.
     *
     * <p>Every job is admitted while no host of the pool is known. The only one of a pool may hold the largest share, so that
     * a job which is large for its pool is not rejected for ever.
     *
     * @param definition the job, not null
     * @param pool the name of its pool, not null
     * @param poolMillicores the processors of the pool's hosts, in millicores, zero while no host is known
     * @param heldMillicores the processors that the unfinished jobs of the pool need for long-running tasks, running or
     *     pending, in millicores
     * @param nowNanos the monotonic time
     * @return the delay after which to retry if the job is rejected, or empty if it is admitted, never null
     */
    public Optional<Duration> retryDelay(
            JobDefinition definition, String pool, long poolMillicores, long heldMillicores, long nowNanos) {
        if (poolMillicores == 0) {
            return Optional.empty();
        }
        int percent = heldMillicores == 0 ? MAX_PERCENT : percent(pool, poolMillicores, nowNanos);
        long allowedMillicores = poolMillicores * percent / FULL_PERCENT;
        return heldMillicores + definition.longRunningMillicores() > allowedMillicores
                ? Optional.of(RETRY_AFTER)
                : Optional.empty();
    }
}
