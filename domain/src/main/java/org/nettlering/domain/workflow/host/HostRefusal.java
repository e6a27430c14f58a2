package org.nettlering.domain.workflow.host;

/** Why no new runs are started on a host. The constant names appear in logs. */
public enum HostRefusal {
    /** No heartbeat was received in this term, so its pool and capacity are unknown. */
    NO_HEARTBEAT,
    HEARTBEAT_OLD,
    DRAINING,
    /** The host announced its shutdown, or its incarnation has terminated. */
    SHUTTING_DOWN,
    /** The last command got no response, or the host was unhealthy. */
    UNRESPONSIVE,
    /** The host rejected a start a moment ago. */
    REJECTED_START,
    /** The host has not responded to a poll in this term, or not to one with the latest fencing token. */
    NOT_POLLED
}
