package org.nettlering.control.workflow;

/**
 * What a site has switched on beyond the scheduling that every site gets.
 *
 * <p>Immutable and thread-safe.
 *
 * @param rejectInfeasible true to reject jobs that cannot end while their results are of use
 * @param copyStragglers true to copy tasks that are far behind their siblings, where their steps allow it
 */
public record WorkflowOptions(boolean rejectInfeasible, boolean copyStragglers) {
    /** Nothing is switched on. */
    public static final WorkflowOptions NONE = new WorkflowOptions(false, false);
}
