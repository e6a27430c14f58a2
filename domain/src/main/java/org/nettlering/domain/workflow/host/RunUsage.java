package org.nettlering.domain.workflow.host;

import org.nettlering.domain.workflow.RunId;

/**
 * The usage and progress of one active run as of the last poll response.
 *
 * <p>Immutable and thread-safe.
 *
 * @param run the run, not null
 * @param load the tail latency in milliseconds if the run is latency-critical, else the millicores in use
 * @param speedPercent the share of full speed that the host last acknowledged, 100 if unthrottled; zero if unknown
 * @param progressPercent the progress of the run
 * @param lastProgressNanos when the progress last increased, by the monotonic clock
 * @param throttledSinceNanos when the host acknowledged the change from full speed, by the monotonic clock;
 *     undefined at full speed
 * @param startNanos when the run was started or, if an earlier leader started it, first tracked, by the monotonic clock
 */
public record RunUsage(
        RunId run,
        long load,
        int speedPercent,
        int progressPercent,
        long lastProgressNanos,
        long throttledSinceNanos,
        long startNanos) {
    /** The progress of a long-running task that is at work. */
    private static final int AT_WORK_PERCENT = 100;

    /**
     * Returns until when the run is known to have been at work.
     *
     * @param reportedNanos when the usage was reported, by the monotonic clock
     * @return the time of the report for a long-running task that is at work, else that of the last progress, by the monotonic
     *     clock
     */
    public long atWorkNanos(long reportedNanos) {
        return progressPercent == AT_WORK_PERCENT ? reportedNanos : lastProgressNanos;
    }
}
