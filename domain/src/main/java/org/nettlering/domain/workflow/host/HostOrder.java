package org.nettlering.domain.workflow.host;

import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.HostAddress;
import org.nettlering.domain.workflow.RunName;

/** An order to one life of a host. A host ignores orders whose token is lower than one that it has seen. */
public sealed interface HostOrder {
    /**
     * Returns the host.
     *
     * @return this life of the host, never null
     */
    HostAddress host();

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
     * @param leaseUntilMillis the end of the lease by the host's clock, in milliseconds
     * @param ticket the permission of the queue's policy, empty if none is needed, not null
     */
    record Start(long token, ActiveRun run, String taskSpecification, long leaseUntilMillis, String ticket)
            implements HostOrder {
        @Override
        public HostAddress host() {
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
    record Stop(HostAddress host, long token, RunName run) implements HostOrder {}

    /**
     * Renews the lease of all that runs and asks what runs and what has ended.
     *
     * @param host the host, not null
     * @param token the fencing token
     * @param leaseUntilMillis the end of the lease by the host's clock, in milliseconds
     * @param noted the number of the last end that the host may forget
     * @param waitMillis how long the answer may wait for an end, in milliseconds
     */
    record Hold(HostAddress host, long token, long leaseUntilMillis, long noted, long waitMillis)
            implements HostOrder {}

    /**
     * Sets the share of its speed at which a run works.
     *
     * @param host the host, not null
     * @param token the fencing token
     * @param run the run, not null
     * @param percent the share, 0 to 100
     */
    record Pace(HostAddress host, long token, RunName run, int percent) implements HostOrder {}
}
