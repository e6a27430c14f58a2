package org.nettlering.control.workflow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.nettlering.control.workflow.RunTraces.Commands;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.HostAllocations;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.host.HostSession;
import org.nettlering.domain.workflow.host.TrackedRunStatus;
import org.nettlering.runtime.log.EventLogger;

/**
 * Finds runs that do not go on as decided: runs of finished jobs that are still tracked, starts that no host confirms,
 * terminations that are not committed, and active runs that the leader does not track.
 *
 * <p>A run is reported when a limit is exceeded, and then at intervals. Belongs to a {@link LeaderDiagnostics}. Not
 * thread-safe, but for {@link #finishedJobRuns}.
 */
final class RunInspection {
    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(5);

    private static final EventLogger LOG = EventLogger.of(RunInspection.class);

    private final RunTraces traces;

    /** The runs that are in a state that must not last, by that state. */
    private final Map<Finding, Sight> sights = new HashMap<>();

    private volatile int finishedJobRuns;

    RunInspection(RunTraces traces) {
        this.traces = traces;
    }

    /** The states that must not last. */
    private enum Kind {
        JOB_FINISHED(Duration.ofSeconds(1)),
        START_UNCONFIRMED(Duration.ofSeconds(2)),
        TERMINATION_UNCOMMITTED(Duration.ofSeconds(2)),
        NOT_TRACKED(Duration.ofSeconds(2));

        /** How long the state may last before it is reported. */
        private final Duration limit;

        Kind(Duration limit) {
            this.limit = limit;
        }
    }

    private record Finding(Kind kind, RunId run) {}

    /** Since when a run was seen in a state, and when it is reported next. */
    private static final class Sight {
        private final long sinceNanos;

        private long nextReportNanos;

        private Sight(long sinceNanos, Duration limit) {
            this.sinceNanos = sinceNanos;
            nextReportNanos = sinceNanos + limit.toNanos();
        }
    }

    /** Returns the number of tracked runs of finished jobs at the last inspection. */
    int finishedJobRuns() {
        return finishedJobRuns;
    }

    void clear() {
        sights.clear();
        finishedJobRuns = 0;
    }

    /** Returns the actions that log what was found. */
    List<Runnable> inspect(WorkflowState state, long term, Collection<HostSession> sessions, long nowNanos) {
        List<Runnable> lines = new ArrayList<>();
        Set<Finding> seen = new HashSet<>();
        Set<RunId> tracked = new HashSet<>();
        int finished = 0;
        for (HostSession session : sessions) {
            String hostId = session.host().id();
            for (TrackedRunStatus run : session.runs().statuses()) {
                tracked.add(run.run());
                String ended = phaseIfFinished(state, run.run());
                finished += ended.isEmpty() ? 0 : 1;
                inspectRun(run, hostId, ended, nowNanos, seen, lines);
            }
        }
        inspectUntracked(state, term, tracked, nowNanos, seen, lines);
        finishedJobRuns = finished;
        sights.keySet().retainAll(seen);
        return lines;
    }

    /** Returns the phase of the run's job if it is finished, {@code NOT_STORED} if it is not stored, else an empty text. */
    private static String phaseIfFinished(WorkflowState state, RunId run) {
        return state.job(run.task().jobId())
                .map(job -> job.phase().isOpen() ? "" : job.phase().name())
                .orElse("NOT_STORED");
    }

    private void inspectRun(
            TrackedRunStatus run, String hostId, String ended, long nowNanos, Set<Finding> seen, List<Runnable> lines) {
        if (!ended.isEmpty()) {
            long endNanos = traces.jobEndNanos(run.run().task().jobId()).orElse(nowNanos);
            ageIfDue(Kind.JOB_FINISHED, run.run(), endNanos, nowNanos, seen).ifPresent(ageMillis -> {
                String details = describe(run, nowNanos);
                lines.add(() ->
                        LOG.log(WorkflowEvent.FINISHED_JOB_RUN_TRACKED, run.run(), hostId, ageMillis, ended, details));
            });
        }
        if (run.terminationFound()) {
            ageIfDue(Kind.TERMINATION_UNCOMMITTED, run.run(), nowNanos, nowNanos, seen)
                    .ifPresent(ageMillis -> lines.add(
                            () -> LOG.log(WorkflowEvent.TERMINATION_NOT_COMMITTED, run.run(), hostId, ageMillis)));
        } else if (!run.confirmed()) {
            long trackedNanos =
                    traces.commandsFor(run.run()).map(Commands::trackedNanos).orElse(nowNanos);
            ageIfDue(Kind.START_UNCONFIRMED, run.run(), trackedNanos, nowNanos, seen)
                    .ifPresent(ageMillis -> {
                        String details = describe(run, nowNanos);
                        lines.add(() ->
                                LOG.log(WorkflowEvent.START_NOT_CONFIRMED, run.run(), hostId, ageMillis, details));
                    });
        }
    }

    private String describe(TrackedRunStatus run, long nowNanos) {
        Commands commands = traces.commandsFor(run.run()).orElse(new Commands(nowNanos, null, null, null));
        return "stage " + run.stage()
                + "; start " + CommandTrace.describe(commands.start(), nowNanos)
                + "; stop " + (run.stopRequested() ? "requested as " + commands.stopReason() : "not requested")
                + ", " + CommandTrace.describe(commands.stop(), nowNanos)
                + "; termination " + (run.terminationFound() ? "found, not committed" : "not found");
    }

    private void inspectUntracked(
            WorkflowState state,
            long term,
            Set<RunId> tracked,
            long nowNanos,
            Set<Finding> seen,
            List<Runnable> lines) {
        for (HostAllocations allocations : state.allocations()) {
            String hostId = allocations.host().id();
            for (ActiveRun run : allocations.runs()) {
                if (!tracked.contains(run.run())) {
                    ageIfDue(Kind.NOT_TRACKED, run.run(), nowNanos, nowNanos, seen)
                            .ifPresent(ageMillis -> lines.add(() ->
                                    LOG.log(WorkflowEvent.ACTIVE_RUN_NOT_TRACKED, run.run(), hostId, term, ageMillis)));
                }
            }
        }
    }

    /**
     * Returns for how long a run has been in a state, in milliseconds, if that is to be reported now.
     *
     * @param sinceNanos since when it has been, if it is seen for the first time, by the monotonic clock
     */
    private Optional<Long> ageIfDue(Kind kind, RunId run, long sinceNanos, long nowNanos, Set<Finding> seen) {
        Finding finding = new Finding(kind, run);
        seen.add(finding);
        Sight sight = sights.computeIfAbsent(finding, first -> new Sight(sinceNanos, kind.limit));
        if (nowNanos - sight.nextReportNanos < 0) {
            return Optional.empty();
        }
        sight.nextReportNanos = nowNanos + REPORT_INTERVAL.toNanos();
        return Optional.of(TimeUnit.NANOSECONDS.toMillis(nowNanos - sight.sinceNanos));
    }
}
