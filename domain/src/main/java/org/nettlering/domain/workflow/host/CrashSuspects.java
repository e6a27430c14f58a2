package org.nettlering.domain.workflow.host;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;

/**
 * The runs that may have caused the crash of a host: those that the host may have started and has not shown at work for a
 * while.
 *
 * <p>A run that had been at work for a while is not a suspect: hosts crash for many reasons, and most runs on one that crashes
 * are not the cause. A suspect of which nothing shows that it had begun is told apart from the others: its start may have
 * reached a host that was down already. Suspects may be known before the crash: a silent host may only be cut off, which says
 * nothing of its runs until another incarnation of it shows up. Not thread-safe.
 */
final class CrashSuspects {
    /** The suspects whose termination was inferred from the silence of the host, and whether each had begun. */
    private final Map<RunId, Boolean> lostRuns = new LinkedHashMap<>();

    CrashSuspects() {}

    /** Returns the suspects among the runs of a host. */
    static List<TrackedRun> among(Collection<TrackedRun> runs) {
        return runs.stream().filter(TrackedRun::isCrashSuspect).toList();
    }

    /** Adds the suspects of a host that is taken for lost. */
    void addLost(List<TrackedRun> suspects) {
        suspects.forEach(tracked -> lostRuns.put(tracked.activeRun.run(), tracked.hasBegun()));
    }

    boolean isEmpty() {
        return lostRuns.isEmpty();
    }

    void clear() {
        lostRuns.clear();
    }

    /** Returns the status of a suspect of a crash, of which there are so many beside those lost before it was known. */
    TerminalStatus statusOf(boolean begun, int suspectCount) {
        if (!begun) {
            return TerminalStatus.CRASH_UNCONFIRMED;
        }
        return lostRuns.size() + suspectCount == 1 ? TerminalStatus.CRASHED_HOST : TerminalStatus.CRASH_SUSPECT;
    }

    /** Removes the suspects that were lost before the crash was known, and returns their status. */
    List<RecordTermination> removeLost(int suspectCount) {
        List<RecordTermination> terminations = new ArrayList<>();
        lostRuns.forEach(
                (run, begun) -> terminations.add(new RecordTermination(run, statusOf(begun, suspectCount), "")));
        lostRuns.clear();
        return terminations;
    }
}
