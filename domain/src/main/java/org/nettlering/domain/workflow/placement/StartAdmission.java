package org.nettlering.domain.workflow.placement;

/**
 * Which tasks may start on a host, so that a crash of the host tells which task causes it.
 *
 * <p>A suspect is a task of which a run may have crashed its host.
 */
public enum StartAdmission {
    /** Any task: the host has shown all its runs at work. */
    ALL,
    /** All but suspects: other runs have just started. */
    NO_SUSPECTS,
    /** None: a suspect has just started. */
    NONE
}
