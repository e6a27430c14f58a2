package org.nettlering.domain.workflow;

/** The status with which a run terminated. */
public enum TerminalStatus {
    /** The work of the task is done. */
    DONE,
    /** The run failed, because of the task itself or because of its host. */
    FAILED,
    /** The run was stopped by a command. */
    STOPPED,
    /** The lease of the run expired. */
    LAPSED,
    /** Another member of the gang terminated. */
    BROKEN,
    /** Other members of the gang did not start in time. */
    ALONE,
    /** The run never started and can no longer start. */
    NOT_BEGUN,
    /** The host incarnation has terminated, or the lease has certainly expired there, and the run with it. */
    HOST_LOST,
    /** The host crashed just after it had started this run and no other one, so that the run is taken for the cause. */
    CRASHED_HOST,
    /** The host crashed just after it had started this run and others, any of which may be the cause. */
    CRASH_SUSPECT,
    /** The host crashed after the start of this run had been sent; nothing shows that it had begun. */
    CRASH_UNCONFIRMED;

    /**
     * Returns whether the status was inferred, so that the host may still report another one for the same run.
     *
     * @return false if only the host itself reports this status
     */
    public boolean isInferred() {
        return this == NOT_BEGUN || this == HOST_LOST || isPossibleHostCrash();
    }

    /**
     * Returns whether the run may have crashed its host.
     *
     * @return true if the host crashed just after it had started the run, or was to start it
     */
    public boolean isPossibleHostCrash() {
        return this == CRASHED_HOST || this == CRASH_SUSPECT || this == CRASH_UNCONFIRMED;
    }
}
