package org.nettlering.domain.workflow;

/** What a command did to the replicated jobs. */
public enum CommandResult {
    /** The command took effect. */
    APPLIED,
    /** The command had taken effect before, or no longer fits the state; nothing changed. */
    UNCHANGED,
    /** The command names a job that is not known. */
    UNKNOWN_JOB
}
