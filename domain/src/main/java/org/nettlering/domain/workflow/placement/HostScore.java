package org.nettlering.domain.workflow.placement;

/**
 * How well a feasible host suits one more task of a step; the smaller the better.
 *
 * <p>The components are compared in their order; what the last four stand for depends on the kind of step. Immutable and
 * thread-safe.
 *
 * @param consecutiveFailures the consecutive run failures on the host
 * @param cold 1 if the host is still slow after its start, else 0
 * @param outsideRack 1 if the data is in another rack, else 0
 * @param addedPressure the bucket of the latency pressure that a best-effort task adds, zero for other tasks
 * @param resultingPressure the bucket of the latency pressure that results from it, zero for other tasks
 * @param colocation a penalty for the runs that are on the host
 * @param idleMillicores the idle processors, negated if a host with many of them is preferred
 */
record HostScore(
        int consecutiveFailures,
        int cold,
        int outsideRack,
        long addedPressure,
        long resultingPressure,
        int colocation,
        long idleMillicores)
        implements Comparable<HostScore> {
    @Override
    public int compareTo(HostScore other) {
        if (consecutiveFailures != other.consecutiveFailures) {
            return Integer.compare(consecutiveFailures, other.consecutiveFailures);
        }
        if (cold != other.cold) {
            return Integer.compare(cold, other.cold);
        }
        if (outsideRack != other.outsideRack) {
            return Integer.compare(outsideRack, other.outsideRack);
        }
        if (addedPressure != other.addedPressure) {
            return Long.compare(addedPressure, other.addedPressure);
        }
        if (resultingPressure != other.resultingPressure) {
            return Long.compare(resultingPressure, other.resultingPressure);
        }
        if (colocation != other.colocation) {
            return Integer.compare(colocation, other.colocation);
        }
        return Long.compare(idleMillicores, other.idleMillicores);
    }
}
