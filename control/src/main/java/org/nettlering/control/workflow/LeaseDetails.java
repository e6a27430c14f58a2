package org.nettlering.control.workflow;

import org.nettlering.domain.workflow.host.HostSessionStatus;

/**
 * Why the lease of a host is not renewed.
 *
 * <p>For logs only. The component names appear in the log. Immutable and thread-safe.
 *
 * @param waitsFor what the leader waits for, not null
 * @param pollInFlightMillis for how long a poll has been in flight, in milliseconds, or {@link LeaseTraces#NONE}
 * @param pollFinishedAgeMillis how long ago the outcome of the last poll was known, in milliseconds, or
 *     {@link LeaseTraces#NONE}
 * @param pollDueInMillis the time until the next poll may be sent, in milliseconds, negative if it is overdue
 * @param latestExpiryInMillis the time by the host's clock until every lease that it may have been given ends, in milliseconds,
 *     negative if it is over; zero if none is known
 * @param uncommittedTerminations the number of terminations that the host reported and that are not committed
 * @param uncommittedForMillis for how long there have been some, as seen once a second, in milliseconds
 * @param heartbeatAgeMillis the age of the latest heartbeat, in milliseconds; -1 if there was none
 * @param responseAgeMillis the age of the last response, in milliseconds; -1 if there was none
 * @param terminatedBy the evidence by which the incarnation counts as terminated, or {@code none}, not null
 */
record LeaseDetails(
        LeaseWait waitsFor,
        long pollInFlightMillis,
        long pollFinishedAgeMillis,
        long pollDueInMillis,
        long latestExpiryInMillis,
        int uncommittedTerminations,
        long uncommittedForMillis,
        long heartbeatAgeMillis,
        long responseAgeMillis,
        String terminatedBy) {
    /** How long the outcome of a poll may take to reach the session once it is known. */
    private static final long OUTCOME_MARGIN_MILLIS = 1_000;

    static LeaseDetails of(HostSessionStatus status, LeaseTraces leases, long uncommittedForMillis) {
        String hostId = status.host().id();
        long pollInFlightMillis = leases.pollInFlightMillis(hostId);
        long pollFinishedAgeMillis = leases.pollFinishedAgeMillis(hostId);
        return new LeaseDetails(
                waitOf(status, pollInFlightMillis, pollFinishedAgeMillis),
                pollInFlightMillis,
                pollFinishedAgeMillis,
                status.pollDueInMillis(),
                status.latestExpiryInMillis(),
                status.uncommittedTerminations(),
                uncommittedForMillis,
                status.heartbeatAgeMillis(),
                status.responseAgeMillis(),
                status.terminatedBy().map(String::valueOf).orElse("none"));
    }

    private static LeaseWait waitOf(HostSessionStatus status, long pollInFlightMillis, long pollFinishedAgeMillis) {
        if (status.terminatedBy().isPresent()) {
            return LeaseWait.INCARNATION_TERMINATED;
        }
        if (status.pollInFlight()
                && pollInFlightMillis == LeaseTraces.NONE
                && (pollFinishedAgeMillis == LeaseTraces.NONE || pollFinishedAgeMillis >= OUTCOME_MARGIN_MILLIS)) {
            return LeaseWait.POLL_OUTCOME_MISSING;
        }
        if (status.unresponsive()) {
            return LeaseWait.HOST_UNRESPONSIVE;
        }
        if (status.pollInFlight()) {
            return LeaseWait.POLL_IN_FLIGHT;
        }
        if (status.uncommittedTerminations() > 0) {
            return LeaseWait.COMMIT_OF_TERMINATIONS;
        }
        return status.clockKnown() ? LeaseWait.LOOP : LeaseWait.CLOCK_READING;
    }
}
