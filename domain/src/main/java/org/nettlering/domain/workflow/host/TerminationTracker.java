package org.nettlering.domain.workflow.host;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
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

    /** The largest number of terminations that one response listed; the host can list as many at a time. */
    private int mostListed;

    /** The highest sequence number acknowledged to the host; it may discard terminations up to this one. */
    private long acknowledgedThrough;

    /**
     * Returns whether a response with so many terminations lists all that the host has. Hosts list a limited number at a time,
     * the lowest sequence numbers first; a list that is shorter than another one is not cut off.
     */
    boolean isComplete(int listedCount) {
        return listedCount == 0 || listedCount < mostListed;
    }

    /** Handles the terminations in a response and returns those that are to be committed to the log. */
    List<RecordTermination> receive(List<ReportedTermination> reported, HostRuns runs) {
        List<RecordTermination> terminations = new ArrayList<>();
        mostListed = Math.max(mostListed, reported.size());
        for (ReportedTermination termination : reported) {
            TrackedRun tracked = runs.get(termination.run());
            (tracked == null ? untracked(termination) : tracked(termination, tracked)).ifPresent(terminations::add);
            // Not before, because a reported termination that is not uncommitted is acknowledged.
            highestReported = Math.max(highestReported, termination.sequence());
        }
        return terminations;
    }

    private Optional<RecordTermination> tracked(ReportedTermination reported, TrackedRun tracked) {
        String checkpoint = reported.checkpoint().isEmpty() ? tracked.checkpoint : reported.checkpoint();
        uncommitted.put(reported.sequence(), reported);
        if (tracked.isTerminationReported()) {
            return Optional.empty();
        }
        RecordTermination termination = new RecordTermination(reported.run(), reported.status(), checkpoint);
        tracked.recordTermination(termination, new TerminationEvidence.Listed());
        return Optional.of(termination);
    }

    /** A termination that may contradict the one inferred for the run is not acknowledged before it is committed. */
    private Optional<RecordTermination> untracked(ReportedTermination reported) {
        if (!isResult(reported)) {
            return Optional.empty();
        }
        uncommitted.put(reported.sequence(), reported);
        return Optional.of(new RecordTermination(reported.run(), reported.status(), reported.checkpoint()));
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
    private static boolean isResult(ReportedTermination termination) {
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
