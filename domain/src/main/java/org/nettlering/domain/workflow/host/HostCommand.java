package org.nettlering.domain.workflow.host;

import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.RunId;

/** A command to a host incarnation. The host ignores commands whose fencing token is lower than one it has seen. */
public sealed interface HostCommand {
    /**
     * Returns the target of the command.
     *
     * @return the host incarnation, never null
     */
    HostIncarnation host();

    /**
     * Returns the fencing token.
     *
     * @return the term of the leader
     */
    long token();

    /**
     * Starts a run.
     *
     * @param token the fencing token
     * @param run the run, not null
     * @param taskSpecification the specification of the task, not null
     * @param leaseExpiryMillis the lease expiry by the host's clock, in milliseconds
     * @param ticket the admission ticket from the queue's policy, empty if none is needed, not null
     */
    record Start(long token, ActiveRun run, String taskSpecification, long leaseExpiryMillis, String ticket)
            implements HostCommand {
        @Override
        public HostIncarnation host() {
            return run.host();
        }
    }

    /**
     * Stops a run, and prevents it from starting later.
     *
     * @param host the host incarnation, not null
     * @param token the fencing token
     * @param run the run, not null
     */
    record Stop(HostIncarnation host, long token, RunId run) implements HostCommand {}

    /**
     * Renews the lease of all runs on the host and requests its active runs and terminations.
     *
     * @param host the host incarnation, not null
     * @param token the fencing token
     * @param leaseExpiryMillis the lease expiry by the host's clock, in milliseconds; zero for no renewal
     * @param acknowledgedThrough the sequence number of the last termination that the host may discard
     * @param maxWaitMillis how long the host may delay the response until a run terminates, in milliseconds
     */
    record Poll(HostIncarnation host, long token, long leaseExpiryMillis, long acknowledgedThrough, long maxWaitMillis)
            implements HostCommand {}

    /**
     * Sets the speed to which a run is throttled.
     *
     * @param host the host incarnation, not null
     * @param token the fencing token
     * @param run the run, not null
     * @param speedPercent the share of full speed, 0 to 100; 100 is unthrottled
     */
    record Throttle(HostIncarnation host, long token, RunId run, int speedPercent) implements HostCommand {}
}
