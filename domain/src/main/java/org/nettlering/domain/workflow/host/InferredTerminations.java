package org.nettlering.domain.workflow.host;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.host.HostResponse.NotSent;
import org.nettlering.domain.workflow.host.HostResponse.OtherIncarnation;
import org.nettlering.domain.workflow.host.HostResponse.Rejected;
import org.nettlering.domain.workflow.host.HostResponse.Unhealthy;

/**
 * The terminations of runs on one host that the host itself did not report.
 *
 * <p>A termination is inferred only on evidence that the run is over or was never started; the evidence is kept with the
 * run. Runs that may have crashed the host are remembered until it is known whether the host crashed. Not thread-safe.
 */
final class InferredTerminations {
    private final HostRuns runs;

    private final HostTimings timings;

    private final CrashSuspects crashSuspects = new CrashSuspects();

    private boolean awaitsCompleteList;

    /** The rebirth of the host by which runs ended that are not all known yet, or null. */
    private @Nullable Rebirth undecidedRebirth;

    /** What is known of a rebirth of the host; see {@link #recordRebirth}. */
    private record Rebirth(boolean announced, TerminationEvidence evidence, long sentNanos) {}

    InferredTerminations(HostRuns runs, HostTimings timings) {
        this.runs = runs;
        this.timings = timings;
    }

    /** Returns whether runs whose host is silent may turn out to have crashed it. */
    boolean awaitsEvidenceOfCrash() {
        return !crashSuspects.isEmpty();
    }

    /** Records that the host is alive: whatever was suspected of its silence, it has not crashed unless it started again. */
    void hostIsAlive() {
        if (undecidedRebirth == null) {
            crashSuspects.clear();
        }
    }

    /** Returns the termination that the response to a start proves, or an empty list if it proves none. */
    static List<RecordTermination> ofStartResponse(TrackedRun tracked, HostResponse response, boolean unresponsive) {
        return switch (response) {
            case NotSent notSent ->
                List.of(notBegun(tracked, new TerminationEvidence.NotSent(tracked.stopRequested, unresponsive)));
            case Rejected rejected ->
                List.of(notBegun(tracked, new TerminationEvidence.StartRefused(rejected.reason())));
            case Unhealthy unhealthy -> List.of(notBegun(tracked, new TerminationEvidence.HostUnwell()));
            case OtherIncarnation other -> List.of(notBegun(tracked, new TerminationEvidence.OtherLife()));
            default -> List.of();
        };
    }

    private static RecordTermination notBegun(TrackedRun tracked, TerminationEvidence evidence) {
        return record(tracked, TerminalStatus.NOT_BEGUN, evidence);
    }

    /**
     * Returns the terminations of the runs that a poll response should have reported.
     *
     * @param reported the runs that it reports
     * @param complete whether it lists all terminations that are not acknowledged; if not, the omission of a run proves nothing
     * @param sentNanos when the poll was sent, by the monotonic clock
     */
    List<RecordTermination> ofUnreportedRuns(Set<RunId> reported, boolean complete, long sentNanos) {
        List<TrackedRun> unreported = runs.stream()
                .filter(tracked -> !tracked.isTerminationFound() && !reported.contains(tracked.activeRun.run()))
                .toList();
        awaitsCompleteList =
                !complete && unreported.stream().anyMatch(tracked -> tracked.isExpectedInResponse(sentNanos));
        if (!complete) {
            return List.of();
        }
        List<RecordTermination> terminations = new ArrayList<>();
        unreported.forEach(tracked -> addUnreported(tracked, sentNanos, terminations));
        return terminations;
    }

    /** Returns whether the latest poll response omits a run that it would report if it surely listed all terminations. */
    boolean awaitsCompleteList() {
        return awaitsCompleteList;
    }

    private void addUnreported(TrackedRun tracked, long sentNanos, List<RecordTermination> terminations) {
        boolean stopComplete = tracked.wasStopCompleteBy(timings.stopGrace(), sentNanos);
        switch (tracked.stage) {
            case INHERITED -> terminations.add(notBegun(tracked, new TerminationEvidence.NeverListed()));
            case START_PENDING, START_SENT -> {}
            case START_UNANSWERED -> {
                if (stopComplete) {
                    terminations.add(notBegun(tracked, new TerminationEvidence.StoppedAndGone()));
                }
            }
            case CONFIRMED -> {
                tracked.stopRequested |= sentNanos - tracked.confirmedNanos >= 0;
                if (stopComplete) {
                    terminations.add(
                            record(tracked, TerminalStatus.HOST_LOST, new TerminationEvidence.StoppedAndGone()));
                }
            }
        }
    }

    /** Returns the terminations of the runs whose start is not sent any more; no lease covers them. */
    List<RecordTermination> ofUnsentRuns(HostLiveness liveness) {
        List<RecordTermination> terminations = new ArrayList<>();
        for (TrackedRun tracked : runs.all()) {
            boolean unsent = tracked.stage == TrackedRun.Stage.START_PENDING && !tracked.isTerminationFound();
            boolean replaced = liveness.isIncarnationTerminated();
            if (unsent && (tracked.stopRequested || replaced || liveness.isUnresponsive())) {
                TerminationEvidence notSent =
                        new TerminationEvidence.NotSent(tracked.stopRequested, liveness.isUnresponsive());
                terminations.add(notBegun(tracked, replaced ? new TerminationEvidence.OtherLife() : notSent));
            }
        }
        return terminations;
    }

    /**
     * Returns the terminations of the runs on a host whose lease has expired.
     *
     * @param evidence the evidence of that
     * @param forAnyIncarnation whether it has expired also if the host has started again since it was last heard of; if not, the runs go on
     *     that only such an incarnation may have begun
     * @param announced whether the host had announced its shutdown; otherwise it may have crashed or be cut off
     */
    List<RecordTermination> ofExpiredLease(TerminationEvidence evidence, boolean forAnyIncarnation, boolean announced) {
        List<TrackedRun> sent = sentRuns().stream()
                .filter(tracked -> forAnyIncarnation || !tracked.isUnconfirmed())
                .toList();
        if (!announced) {
            crashSuspects.addLost(CrashSuspects.among(sent));
        }
        return sent.stream()
                .map(tracked -> record(tracked, TerminalStatus.HOST_LOST, evidence))
                .toList();
    }

    /**
     * Returns the terminations of all runs that the host may have started, after another incarnation has responded at its
     * address.
     *
     * @param announced whether the host had announced its shutdown
     */
    List<RecordTermination> ofReplacedIncarnation(boolean announced) {
        return endWithIncarnation(sentRuns(), announced, new TerminationEvidence.OtherLife());
    }

    private List<TrackedRun> sentRuns() {
        return runs.stream().filter(TrackedRun::mayBeActive).toList();
    }

    /**
     * Records that the host has started again; what was active before is over.
     *
     * @param announced whether the earlier incarnation had announced its end
     * @param evidence the evidence that it has terminated
     * @param sentNanos when the poll was sent to which the later incarnation responded, by the monotonic clock
     */
    void recordRebirth(boolean announced, TerminationEvidence evidence, long sentNanos) {
        undecidedRebirth = new Rebirth(announced, evidence, sentNanos);
    }

    /**
     * Returns the terminations of the runs that ended with the earlier incarnation, once the later one has listed all its
     * terminations: it may have executed, and ended, a run whose start it got instead of the earlier one.
     */
    List<RecordTermination> ofRebirth(Set<RunId> reported, boolean complete) {
        Rebirth rebirth = undecidedRebirth;
        if (rebirth == null || !complete) {
            return List.of();
        }
        undecidedRebirth = null;
        List<TrackedRun> ended = runs.stream()
                .filter(tracked -> !reported.contains(tracked.activeRun.run()))
                .filter(tracked -> tracked.wasActiveBefore(rebirth.sentNanos()))
                .toList();
        return endWithIncarnation(ended, rebirth.announced(), rebirth.evidence());
    }

    private List<RecordTermination> endWithIncarnation(
            Collection<TrackedRun> ended, boolean announced, TerminationEvidence evidence) {
        if (announced) {
            crashSuspects.clear();
            return ended.stream()
                    .map(tracked -> record(tracked, TerminalStatus.HOST_LOST, evidence))
                    .toList();
        }
        int suspectCount = CrashSuspects.among(ended).size();
        List<RecordTermination> terminations = new ArrayList<>();
        for (TrackedRun tracked : ended) {
            TerminalStatus status = tracked.isCrashSuspect()
                    ? crashSuspects.statusOf(tracked.hasBegun(), suspectCount)
                    : TerminalStatus.HOST_LOST;
            terminations.add(record(tracked, status, evidence));
        }
        terminations.addAll(crashSuspects.removeLost(suspectCount));
        return terminations;
    }

    private static RecordTermination record(TrackedRun tracked, TerminalStatus status, TerminationEvidence evidence) {
        RecordTermination termination = new RecordTermination(tracked.activeRun.run(), status, tracked.checkpoint);
        tracked.recordTermination(termination, evidence);
        return termination;
    }
}
