package org.nettlering.control.workflow;

/**
 * What a site has switched on beyond the scheduling that every site gets, and what its jobs may take.
 *
 * <p>Immutable and thread-safe.
 *
 * @param rejectInfeasible true to reject jobs that cannot end while their results are of use
 * @param copyStragglers true to copy tasks that are far behind their siblings, where their steps allow it
 * @param maxJobBytes the maximum memory of all known jobs without their tasks, in bytes
 */
public record WorkflowOptions(boolean rejectInfeasible, boolean copyStragglers, long maxJobBytes) {
    /** Nothing is switched on. */
    public static final WorkflowOptions NONE = new WorkflowOptions(false, false, defaultMaxJobBytes());

    /** The part of the heap that jobs may take. The log and the snapshots hold them, too. */
    private static final int HEAP_PARTS = 6;

    /**
     * Returns the maximum memory of all jobs where the settings do not state one.
     *
     * @return a sixth of the maximum heap of this process, in bytes
     */
    public static long defaultMaxJobBytes() {
        return Runtime.getRuntime().maxMemory() / HEAP_PARTS;
    }
}
