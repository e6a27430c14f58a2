package org.nettlering.domain.workflow.host;

import java.util.Set;
import java.util.TreeMap;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.host.HostResponse.ReportedTermination;

/**
 * Tracks which terminations reported by a host are committed to the log, so that they can be acknowledged and the host
 * may discard them.
 *
 * <p>Not thread-safe.
 */
final class TerminationTracker {
    /** By sequence number. */
    private final TreeMap<Long, ReportedTermination> uncommitted = new TreeMap<>();

    /** The highest sequence number that the host reported. */
    private long highestReported;

    /** The highest sequence number acknowledged to the host; it may discard terminations up to this one. */
    private long acknowledgedThrough;

    void recordReported(long sequence) {
        highestReported = Math.max(highestReported, sequence);
    }

    void addUncommitted(ReportedTermination termination) {
        uncommitted.put(termination.sequence(), termination);
    }

    /** Records that a termination is committed; one of the same run with another status stays uncommitted. */
    void recordCommitted(RunId run, TerminalStatus status) {
        uncommitted.values().removeIf(termination -> termination.run().equals(run) && termination.status() == status);
    }

    /**
     * Discards the terminations that would have no effect if they were committed: those of runs that are not active, apart
     * from results, which may replace the loss of a run.
     */
    void discardWithoutEffect(Set<RunId> activeRuns) {
        uncommitted.values().removeIf(termination -> !activeRuns.contains(termination.run()) && !isResult(termination));
    }

    /** Returns whether a termination tells how the work of the run ended. */
    static boolean isResult(ReportedTermination termination) {
        return termination.status() == TerminalStatus.DONE || termination.status() == TerminalStatus.FAILED;
    }

    /** Returns the sequence number up to which every reported termination is committed. */
    long committedThrough() {
        return uncommitted.isEmpty() ? highestReported : Math.min(highestReported, uncommitted.firstKey() - 1);
    }

    void recordAcknowledged(long sequence) {
        acknowledgedThrough = Math.max(acknowledgedThrough, sequence);
    }

    boolean hasUnsentAcknowledgement() {
        return committedThrough() > acknowledgedThrough;
    }

    boolean hasUncommitted() {
        return !uncommitted.isEmpty();
    }

    int uncommittedCount() {
        return uncommitted.size();
    }
}
