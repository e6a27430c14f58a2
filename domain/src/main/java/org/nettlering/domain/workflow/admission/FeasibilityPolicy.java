package org.nettlering.domain.workflow.admission;

import java.time.Duration;
import java.util.Optional;
import org.nettlering.domain.workflow.ResultValue;

/**
 * Decides whether a job can end while its result is of use.
 *
 * <p>Stateless and thread-safe.
 */
public final class FeasibilityPolicy {
    private static final Duration MIN_RETRY_DELAY = Duration.ofSeconds(1);

    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(15);

    /** How far retry delays are spread, either way, in percent. */
    private static final int SPREAD_PERCENT = 25;

    private FeasibilityPolicy() {}

    /**
     * Decides on one job while no host has room for one of its tasks.
     *
     * @param jobId the id of the job, which decides on the spread of the delay, not null
     * @param waitMillis how long the work in front of the job takes, in milliseconds
     * @param shortestPathMillis what its longest chain of steps takes at least, in milliseconds
     * @param allowedMillis the time that the job is allowed, in milliseconds
     * @return the delay after which it is worth coming back, or empty if the job is feasible, never null
     */
    public static Optional<Duration> retryDelay(
            String jobId, long waitMillis, long shortestPathMillis, long allowedMillis) {
        if (!ResultValue.isGone(waitMillis + shortestPathMillis, allowedMillis)) {
            return Optional.empty();
        }
        long untilInTimeMillis = waitMillis + shortestPathMillis - allowedMillis;
        int percent = 100 + Math.floorMod(jobId.hashCode(), 2 * SPREAD_PERCENT + 1) - SPREAD_PERCENT;
        long delayMillis = untilInTimeMillis * percent / 100;
        return Optional.of(
                Duration.ofMillis(Math.clamp(delayMillis, MIN_RETRY_DELAY.toMillis(), MAX_RETRY_DELAY.toMillis())));
    }
}
