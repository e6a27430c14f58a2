package org.nettlering.domain.workflow.host;

import java.util.Optional;
import org.nettlering.domain.workflow.HostIncarnation;

/**
 * What the leader of one term knows of a host and waits for.
 *
 * <p>For logs and metrics only. Immutable and thread-safe.
 *
 * @param host the host incarnation, not null
 * @param activeRuns the number of runs that may be active on the host
 * @param clockKnown whether a reading of the host's clock was received, without which no lease can be requested
 * @param pollInFlight whether the session awaits the outcome of a poll
 * @param unresponsive whether the last command got no response or the host was unhealthy; polls renew no lease then
 * @param uncommittedTerminations the number of terminations that the host reported and that are not committed; no poll is
 *     sent to a responsive host meanwhile
 * @param pollDueInMillis the time until the next poll may be sent, in milliseconds, negative if it is overdue
 * @param latestExpiryInMillis the time by the host's clock until every lease that it may have been given ends, in milliseconds,
 *     negative if it is over; zero if none is known
 * @param heartbeatAgeMillis the age of the latest heartbeat, in milliseconds, or {@link TerminationEvidence#NEVER}
 * @param responseAgeMillis the age of the last response, in milliseconds, or {@link TerminationEvidence#NEVER}
 * @param terminatedBy the evidence by which the incarnation counts as terminated, so that no command is sent to it any
 *     more; empty if it does not count as terminated, not null
 */
public record HostSessionStatus(
        HostIncarnation host,
        int activeRuns,
        boolean clockKnown,
        boolean pollInFlight,
        boolean unresponsive,
        int uncommittedTerminations,
        long pollDueInMillis,
        long latestExpiryInMillis,
        long heartbeatAgeMillis,
        long responseAgeMillis,
        Optional<TerminationEvidence> terminatedBy) {}
