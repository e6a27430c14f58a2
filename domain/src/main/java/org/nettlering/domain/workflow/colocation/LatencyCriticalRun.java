package org.nettlering.domain.workflow.colocation;

import org.nettlering.domain.workflow.RunId;

/**
 * A run that serves users, as its host measured it last.
 *
 * <p>Immutable and thread-safe.
 *
 * @param run the run, not null
 * @param image what it runs, not null
 * @param targetMillis the bound on the tail of its response times, in milliseconds, positive
 * @param tailLatencyMillis the tail as measured, in milliseconds
 */
public record LatencyCriticalRun(RunId run, String image, long targetMillis, long tailLatencyMillis) {
    /**
     * Returns how much of the way from undisturbed to its target the run has gone.
     *
     * <p>A tail grows without bound as its host comes near its limits. What others take of a run adds up in the part of its
     * tail that is waiting, so that part is what is compared with the part at the target.
     *
     * @param baselineMillis the tail of the image at its quietest, in milliseconds, positive and below the target
     * @return thousandths: 0 at the quietest, 1000 at the target, more beyond it
     */
    long pressureThousandths(double baselineMillis) {
        double queueingShare = 1 - baselineMillis / Math.max(baselineMillis, (double) tailLatencyMillis);
        double queueingShareAtTarget = 1 - baselineMillis / targetMillis;
        return Math.round(1_000 * queueingShare / queueingShareAtTarget);
    }
}
