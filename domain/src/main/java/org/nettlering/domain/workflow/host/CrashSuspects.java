package org.nettlering.domain.workflow.host;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;

/**
 * The runs that may have caused the crash of a host: those that the host may have started and has not shown at work for a
 * while.
 *
 * <p>A run that had been at work for a while is not a suspect: hosts crash for many reasons, and most runs on one that crashes
 * are not the cause. Suspects may be known before the crash: a silent host may only be cut off, which says nothing
 * of its runs until another incarnation of it shows up. Not thread-safe.
 */
final class CrashSuspects {
    /** The suspects whose termination was inferred from the silence of the host. */
    private final Set<RunId> lostRuns = new LinkedHashSet<>();

    CrashSuspects() {}

    /** Returns the suspects among the runs of a host. */
    static List<RunId> among(Collection<TrackedRun> runs) {
        return runs.stream()
                .filter(TrackedRun::isCrashSuspect)
                .map(tracked -> tracked.activeRun.run())
                .toList();
    }

    /** Adds the suspects of a host that is taken for lost. */
    void addLost(List<RunId> suspects) {
        lostRuns.addAll(suspects);
    }

    boolean isEmpty() {
        return lostRuns.isEmpty();
    }

    void clear() {
        lostRuns.clear();
    }

    /** Returns the status of each suspect of a crash: those that were lost before it was known, and the given ones. */
    TerminalStatus statusTogetherWith(List<RunId> suspects) {
        return lostRuns.size() + suspects.size() == 1 ? TerminalStatus.CRASHED_HOST : TerminalStatus.CRASH_SUSPECT;
    }

    /** Removes the suspects that were lost before the crash was known, and returns their status. */
    List<RecordTermination> removeLost(List<RunId> otherSuspects) {
        TerminalStatus status = statusTogetherWith(otherSuspects);
        List<RecordTermination> terminations = new ArrayList<>();
        lostRuns.forEach(run -> terminations.add(new RecordTermination(run, status, "")));
        lostRuns.clear();
        return terminations;
    }
}
