package org.nettlering.control.workflow;

/** What the leader waits for before it renews the lease of a host again. The constant names appear in logs. */
enum LeaseWait {
    /** The incarnation counts as terminated, so no command is sent to it any more. */
    INCARNATION_TERMINATED,
    /** The session awaits the outcome of a poll, but no poll to the host is in flight. */
    POLL_OUTCOME_MISSING,
    /** The last command got no response or the host was unhealthy; it is polled without renewing the lease. */
    HOST_UNRESPONSIVE,
    /** A poll is in flight. */
    POLL_IN_FLIGHT,
    /** The host is polled again once the terminations that it reported are committed. */
    COMMIT_OF_TERMINATIONS,
    /** No reading of the host's clock was received, without which no lease can be requested. */
    CLOCK_READING,
    /** A poll is due, and the loop has not sent it. */
    LOOP
}
