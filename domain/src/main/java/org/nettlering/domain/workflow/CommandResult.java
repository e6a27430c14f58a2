package org.nettlering.domain.workflow;

/** The result of applying a {@link WorkflowCommand}. */
public enum CommandResult {
    /** The command took effect. */
    APPLIED,
    /** Nothing changed: the command had taken effect before, or no longer applies to the state. */
    UNCHANGED,
    /** Nothing changed: the command names an unknown job. */
    UNKNOWN_JOB,
    /** Nothing changed: the command is based on an older version of what it changes. */
    VERSION_CONFLICT
}
