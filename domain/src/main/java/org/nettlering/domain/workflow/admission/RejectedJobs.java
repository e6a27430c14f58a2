package org.nettlering.domain.workflow.admission;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The jobs that were sent away a short while ago, so that their callers are not sent away a second time.
 *
 * <p>Memory is bounded. Not thread-safe.
 */
public final class RejectedJobs {
    /** How long a caller that was sent away is admitted when it returns; longer than any retry delay. */
    private static final Duration RETENTION = Duration.ofMinutes(1);

    private static final int MAX_JOBS = 20_000;

    /** When each job was rejected, by the monotonic clock, the oldest first. */
    private final Map<String, Long> rejectedNanos = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_JOBS;
        }
    };

    /**
     * Returns a new instance without jobs.
     *
     * @return a new instance, never null
     */
    public static RejectedJobs none() {
        return new RejectedJobs();
    }

    private RejectedJobs() {}

    /**
     * Records that a job was rejected.
     *
     * @param jobId the id of the job, not null
     * @param nowNanos the monotonic time
     */
    public void add(String jobId, long nowNanos) {
        rejectedNanos.put(jobId, nowNanos);
    }

    /**
     * Returns whether a job was sent away a short while ago.
     *
     * @param jobId the id of the job, not null
     * @param nowNanos the monotonic time
     * @return true within a minute of its rejection
     */
    public boolean includes(String jobId, long nowNanos) {
        Long rejected = rejectedNanos.get(jobId);
        return rejected != null && nowNanos - rejected < RETENTION.toNanos();
    }
}
