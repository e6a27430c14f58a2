package org.nettlering.domain.workflow.host;

import java.util.TreeMap;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.host.HostResponse.ReportedTermination;

/**
 * Which of a host's ends are in the log, so that the host may forget them.
 *
 * <p>Not thread-safe.
 */
final class TerminationTracker {
    /** The ends that are not in the log yet, by their number. */
    private final TreeMap<Long, ReportedTermination> uncommitted = new TreeMap<>();

    /** The highest number that was listed. */
    private long highestReported;

    /** The highest number that the host was allowed to forget. */
    private long acknowledgedThrough;

    void recordReported(long sequence) {
        highestReported = Math.max(highestReported, sequence);
    }

    void uncommitted(ReportedTermination termination) {
        uncommitted.put(termination.sequence(), termination);
    }

    /** Notes that an end is in the log; one of another kind for the same run stays open. */
    void recordCommitted(RunId run, TerminalStatus status) {
        uncommitted.values().removeIf(termination -> termination.run().equals(run) && termination.status() == status);
    }

    /** Returns the number up to which every end is in the log. */
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
}
