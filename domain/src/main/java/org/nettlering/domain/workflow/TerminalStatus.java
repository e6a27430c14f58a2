package org.nettlering.domain.workflow;

/** How a run ended. */
public enum TerminalStatus {
    /** The work is done. */
    DONE,
    /** The run failed, through its own fault or its host's. */
    FAILED,
    /** The run was stopped on an order. */
    STOPPED,
    /** The lease ended. */
    LAPSED,
    /** Another member of the gang ended. */
    BROKEN,
    /** The other members of the gang did not come. */
    ALONE,
    /** The run never began, and never will. */
    NOT_BEGUN,
    /** The host is gone, or the lease has certainly ended there, and the run with it. */
    HOST_LOST;

    /**
     * Tells whether the end was inferred, so that the host may still list another one for the same run.
     *
     * @return false if only a host's own list tells such an end
     */
    public boolean isInferred() {
        return this == NOT_BEGUN || this == HOST_LOST;
    }
}
