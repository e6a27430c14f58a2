package org.nettlering.domain.workflow.colocation;

import org.nettlering.domain.workflow.RunId;

/**
 * A latency-critical run as its host last measured it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param run the run, not null
 * @param image the container image, not null
 * @param targetMillis the target for the tail latency, in milliseconds, positive
 * @param tailLatencyMillis the measured tail latency, in milliseconds
 */
public record LatencyCriticalRun(RunId run, String image, long targetMillis, long tailLatencyMillis) {
    /**
     * Returns the latency pressure on the run.
     *
     * <p>Tail latency grows without bound as a host approaches saturation, whereas the effects of colocated runs add up
     * in the share of the tail latency that is queueing time. The pressure is therefore the ratio of this share to its
     * value at the target.
     *
     * @param baselineMillis the baseline tail latency of the image, in milliseconds, positive and below the target
     * @return thousandths: 0 at the baseline, 1000 at the target, more beyond it
     */
    long pressureThousandths(double baselineMillis) {
        double queueingShare = 1 - baselineMillis / Math.max(baselineMillis, (double) tailLatencyMillis);
        double queueingShareAtTarget = 1 - baselineMillis / targetMillis;
        return Math.round(1_000 * queueingShare / queueingShareAtTarget);
    }
}
