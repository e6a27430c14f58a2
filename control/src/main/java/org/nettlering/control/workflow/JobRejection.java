package org.nettlering.control.workflow;

import java.time.Duration;

/**
 * Why a submitted job is rejected, and when it is worth submitting it again.
 *
 * <p>Immutable and thread-safe.
 *
 * @param reason the reason, not null
 * @param retryAfter the delay after which to retry, not null
 */
record JobRejection(Reason reason, Duration retryAfter) {
    /** The names appear in the log. */
    enum Reason {
        /** The job was cancelled before its submission arrived. */
        CANCELLED_BEFORE,
        /** The members hold as many tasks as they can. */
        TOO_MANY_TASKS,
        /** The texts and steps of the known jobs take as much memory as they may. */
        TOO_MANY_BYTES,
        /** Long-running jobs hold the share of the pool that they may. */
        LONG_RUNNING_SHARE,
        /** The work in front of the job takes so long that its result would be of no use. */
        INFEASIBLE
    }
}
