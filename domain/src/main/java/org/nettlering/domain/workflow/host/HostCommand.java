package org.nettlering.domain.workflow.host;

import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.RunId;

/** An order to one life of a host. A host ignores orders whose token is lower than one that it has seen. */
public sealed interface HostCommand {
    /**
     * Returns the host.
     *
     * @return this life of the host, never null
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
     * @param taskSpecification what the task is to do, not null
     * @param leaseExpiryMillis the end of the lease by the host's clock, in milliseconds
     * @param ticket the permission of the queue's policy, empty if none is needed, not null
     */
    record Start(long token, ActiveRun run, String taskSpecification, long leaseExpiryMillis, String ticket)
            implements HostCommand {
        @Override
        public HostIncarnation host() {
            return run.host();
        }
    }

    /**
     * Stops a run, and keeps it from starting later.
     *
     * @param host the host, not null
     * @param token the fencing token
     * @param run the run, not null
     */
    record Stop(HostIncarnation host, long token, RunId run) implements HostCommand {}

    /**
     * Renews the lease of all that runs and asks what runs and what has ended.
     *
     * @param host the host, not null
     * @param token the fencing token
     * @param leaseExpiryMillis the end of the lease by the host's clock, in milliseconds
     * @param acknowledgedThrough the number of the last end that the host may forget
     * @param maxWaitMillis how long the answer may wait for an end, in milliseconds
     */
    record Poll(HostIncarnation host, long token, long leaseExpiryMillis, long acknowledgedThrough, long maxWaitMillis)
            implements HostCommand {}

    /**
     * Sets the share of its speed at which a run works.
     *
     * @param host the host, not null
     * @param token the fencing token
     * @param run the run, not null
     * @param speedPercent the share, 0 to 100
     */
    record Throttle(HostIncarnation host, long token, RunId run, int speedPercent) implements HostCommand {}
}
