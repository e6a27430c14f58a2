package org.nettlering.domain.workflow.drain;

/** What happens to a run on a host that is to be emptied. The constant names appear in logs and metrics. */
public enum DrainDecision {
    /** The run ends before the host is expected to leave. */
    ENDS_THERE,
    /** The run is stopped as soon as its step and the capacity elsewhere allow, and its task runs on another host. */
    MOVES,
    /** The run may not end in time, but a stop would lose all its work for certain. */
    STAYS
}
