package org.nettlering.control.workflow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.HostAllocations;
import org.nettlering.domain.workflow.Job;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.JobTerms;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.StepProgress;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.WorkflowCommand.StartOccurrence;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.admission.JobAdmissionPolicy;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostHeartbeat;
import org.nettlering.domain.workflow.host.HostResponse;
import org.nettlering.domain.workflow.host.HostSession;
import org.nettlering.domain.workflow.host.HostTimings;
import org.nettlering.domain.workflow.host.RunUsage;
import org.nettlering.domain.workflow.host.StallDetector;
import org.nettlering.domain.workflow.host.TerminationEvidence;
import org.nettlering.domain.workflow.placement.FreeCapacity;
import org.nettlering.domain.workflow.placement.HostFailureBackoff;
import org.nettlering.domain.workflow.placement.StartPlan;
import org.nettlering.domain.workflow.placement.StartPlanner;
import org.nettlering.domain.workflow.placement.ThrottledRun;
import org.nettlering.runtime.log.EventLogger;

/**
 * What the leader of one term knows beside the replicated jobs: the hosts, and what waits to be logged.
 *
 * <p>Not thread-safe: used under the lock of {@link WorkflowPart}.
 */
final class WorkflowLeadership {
    /** How much later than due an occurrence begins, so that clocks that differ a little begin none too early. */
    private static final Duration DUE_MARGIN = Duration.ofMillis(50);

    private static final EventLogger LOG = EventLogger.of(WorkflowLeadership.class);

    /** The term. */
    private final long term;

    /** The times that hosts keep to. */
    private final HostTimings limits;

    /** Measures the plans. */
    private final LoopMeasures measures;

    /** The hosts by the id of their life. */
    private final Map<String, HostSession> sessions = new LinkedHashMap<>();

    /** The hosts to avoid. */
    private final HostFailureBackoff doubts = HostFailureBackoff.create();

    /** How the runs on each host share it. */
    private final HostSharing sharing = new HostSharing();

    /** The hosts at which something may be due. */
    private final DueHosts dueHosts = new DueHosts();

    /** The rooms on the hosts. */
    private final HostRooms rooms = new HostRooms();

    /** The lives of the hosts that are followed for each run. */
    private final Map<RunId, String> hostsOfRuns = new HashMap<>();

    /** The ends that wait to be logged. */
    private final Map<RunId, RecordTermination> openEnds = new LinkedHashMap<>();

    /** What showed the ends that are not reported yet. */
    private final Map<RunId, TerminationEvidence> proofs = new HashMap<>();

    /** The jobs that have ended. */
    private final EndedJobs endedJobs;

    /** How much was done. */
    private final LoopWork work = new LoopWork();

    /** Whether a batch is on its way through the log. */
    private boolean proposing;

    /** Whether something changed since the last plan that may let a task start. */
    private boolean planWanted = true;

    static WorkflowLeadership begin(
            WorkflowState state, long term, HostTimings limits, LoopMeasures measures, long nowNanos) {
        WorkflowLeadership leadership = new WorkflowLeadership(term, limits, measures, nowNanos);
        for (HostAllocations host : state.allocations()) {
            HostSession session = leadership.session(host, nowNanos);
            for (ActiveRun run : host.runs()) {
                session.trackInheritedRun(run, fills(state, run), nowNanos);
                leadership.hostsOfRuns.put(run.run(), host.host().id());
                leadership.stopIfPointless(state, run);
            }
        }
        leadership.visitAll();
        return leadership;
    }

    private static boolean fills(WorkflowState state, ActiveRun run) {
        return state.step(run.run().task().step())
                .filter(step -> step.specification().has(StepTrait.BEST_EFFORT))
                .isPresent();
    }

    private WorkflowLeadership(long term, HostTimings limits, LoopMeasures measures, long nowNanos) {
        this.term = term;
        this.limits = limits;
        this.measures = measures;
        endedJobs = new EndedJobs(nowNanos);
    }

    private HostSession session(HostAllocations host, long nowNanos) {
        return sessions.computeIfAbsent(
                host.host().id(), id -> HostSession.create(host.host(), limits, term, nowNanos));
    }

    long term() {
        return term;
    }

    LoopWork work() {
        return work;
    }

    Collection<HostSession> sessions() {
        return sessions.values();
    }

    /** Takes a report of a host; returns whether it is the first one of this life in this term. */
    boolean receive(HostHeartbeat report, long nowNanos) {
        HostSession session = sessions.get(report.host().id());
        boolean first = session == null || session.latestHeartbeat().isEmpty();
        if (session == null) {
            session = HostSession.create(report.host(), limits, term, nowNanos);
            sessions.put(report.host().id(), session);
        }
        session.handleHeartbeat(report, nowNanos);
        changed(report.host().id());
        return first;
    }

    void leave(String hostId, long nowNanos) {
        HostSession session = sessions.get(hostId);
        if (session != null) {
            session.handleShutdownNotice(nowNanos);
            changed(hostId);
        }
    }

    /** Takes what came of an order. */
    void answered(WorkflowState state, HostCommand order, long sentNanos, HostResponse answer, long nowNanos) {
        HostSession session = sessions.get(order.host().id());
        if (session == null) {
            return;
        }
        changed(order.host().id());
        collect(session, session.handleResponse(order, sentNanos, answer, nowNanos));
        if (answer instanceof HostResponse.PollResult) {
            sharing.share(state, session, nowNanos);
            stopStalled(state, session, nowNanos);
        }
        sharing.noteSlowed(session);
    }

    /** Stops the runs on a host that stand still, so that they start elsewhere, and holds that against the host. */
    private void stopStalled(WorkflowState state, HostSession session, long nowNanos) {
        for (RunUsage load : session.runUsages()) {
            boolean stalled = state.step(load.run().task().step())
                    .map(StepProgress::specification)
                    .filter(step -> StallDetector.isStalled(step, load, nowNanos))
                    .isPresent();
            if (stalled) {
                session.requestStop(load.run());
                doubts.recordTermination(session.host().id(), TerminalStatus.FAILED, nowNanos);
            }
        }
    }

    private void collect(HostSession session, List<RecordTermination> ends) {
        for (RecordTermination end : ends) {
            openEnds.put(end.run(), end);
            hostsOfRuns.put(end.run(), session.host().id());
            session.evidenceOf(end.run()).ifPresent(proof -> proofs.put(end.run(), proof));
        }
    }

    /** Returns what showed an end that is in the log now, and forgets it. */
    TerminationEvidence takeProof(RunId run) {
        TerminationEvidence proof = proofs.remove(run);
        return proof == null ? new TerminationEvidence.Listed() : proof;
    }

    /** Decides whether a job is accepted; returns when its caller should come back if it is not. */
    Optional<Duration> rejection(WorkflowState state, JobTerms terms, JobDefinition definition) {
        if (JobAdmissionPolicy.longRunningMillicores(definition) == 0) {
            // What ends is never rejected, whatever the hosts and the other jobs are.
            return Optional.empty();
        }
        long pool = 0;
        for (HostSession session : sessions.values()) {
            pool += session.latestHeartbeat()
                    .filter(report -> report.pool().equals(terms.pool()) && !report.draining())
                    .map(report -> report.capacity().millicores())
                    .orElse(0L);
        }
        long lasting = 0;
        for (Job job : state.jobs()) {
            work.noteJob();
            if (job.phase().isOpen() && job.terms().pool().equals(terms.pool())) {
                lasting += JobAdmissionPolicy.longRunningMillicores(job.definition());
            }
        }
        return JobAdmissionPolicy.rejectionRetryDelay(definition, pool, lasting);
    }

    /**
     * Returns the next batch to log, or an empty list if one is on its way or there is nothing to do.
     *
     * <p>Ends come before starts. These are planned on the state without those ends, so that a host has no less room than a
     * plan takes; a start whose job ends by one of them changes nothing when it is applied.
     */
    List<WorkflowCommand> nextBatch(WorkflowState state, long nowNanos, long nowMillis) {
        if (proposing) {
            return List.of();
        }
        collectOverdueEnds(nowNanos);
        List<WorkflowCommand> batch = new ArrayList<>(openEnds.values());
        if (planWanted) {
            planWanted = false;
            addDueOccurrences(state, nowMillis, batch);
            batch.addAll(endedJobs.toForget(state, nowNanos));
            long planBegunNanos = measures.planBegins();
            addStarts(state, nowNanos, nowMillis, batch);
            measures.planned(planBegunNanos);
        }
        openEnds.clear();
        proposing = !batch.isEmpty();
        return batch;
    }

    private void addStarts(WorkflowState state, long nowNanos, long nowMillis, List<WorkflowCommand> batch) {
        List<ThrottledRun> heldBack = sharing.heldBackRuns(state, sessions.values(), nowNanos);
        if (state.pendingSteps().isEmpty() && heldBack.isEmpty()) {
            return;
        }
        StartPlan plan =
                StartPlanner.plan(state, rooms(state, nowNanos), step -> true, sharing.guard(), heldBack, nowMillis);
        batch.addAll(plan.starts());
        plan.migrations().forEach(this::move);
    }

    /** Has a host looked at, and its room measured anew. */
    private void changed(String hostId) {
        dueHosts.touch(hostId);
        rooms.forget(hostId);
    }

    private void collectOverdueEnds(long nowNanos) {
        for (String hostId : dueHosts.takeForEnds(nowNanos)) {
            HostSession session = sessions.get(hostId);
            if (session != null) {
                work.noteVisit();
                List<RecordTermination> overdue = session.inferTerminations(nowNanos);
                collect(session, overdue);
                if (!overdue.isEmpty()) {
                    changed(hostId);
                }
            }
        }
    }

    private void move(ActiveRun run) {
        LOG.log(WorkflowEvent.RUN_MOVED, run.run(), run.host().id());
        stop(run);
    }

    private static void addDueOccurrences(WorkflowState state, long nowMillis, List<WorkflowCommand> batch) {
        for (Job job : state.periodicJobs()) {
            job.nextOccurrence()
                    .filter(next -> nowMillis >= job.definition().recurrence().dueMillis(next) + DUE_MARGIN.toMillis())
                    .ifPresent(next -> batch.add(new StartOccurrence(job.id(), next)));
        }
    }

    private List<FreeCapacity> rooms(WorkflowState state, long nowNanos) {
        List<FreeCapacity> present = new ArrayList<>();
        for (HostSession session : sessions.values()) {
            String id = session.host().id();
            if (session.acceptsRuns(nowNanos) && !doubts.isBackingOff(id, nowNanos)) {
                session.latestHeartbeat().ifPresent(report -> present.add(room(state, session, report)));
            }
        }
        return present;
    }

    private FreeCapacity room(WorkflowState state, HostSession session, HostHeartbeat report) {
        String id = session.host().id();
        HostAllocations commitments = state.allocationsOf(id).orElse(null);
        return rooms.room(id, commitments, () -> {
            work.noteRoom();
            return FreeCapacity.of(
                    report,
                    commitments == null ? HostAllocations.empty(session.host()) : commitments,
                    doubts.consecutiveFailures(id),
                    HostSharing.servingRuns(state, session));
        });
    }

    /** Has every host looked at the next time, for whatever becomes due by the passing of time alone. */
    void visitAll() {
        dueHosts.touchAll(sessions.keySet());
    }

    /** Has starts planned the next time: a job, a host or the time of day has changed. */
    void wantPlan() {
        planWanted = true;
    }

    /** Takes note that a batch is in the log and applied here. */
    void committed(WorkflowState state, List<WorkflowCommand> batch, long nowNanos) {
        proposing = false;
        planWanted = true;
        for (WorkflowCommand command : batch) {
            switch (command) {
                case StartRun start -> started(state, start.run(), nowNanos);
                case RecordTermination end -> ended(state, end, nowNanos);
                default -> {}
            }
        }
    }

    /** Takes note that a batch did not get into the log, as far as is known. */
    void notCommitted(List<WorkflowCommand> batch) {
        proposing = false;
        for (WorkflowCommand command : batch) {
            if (command instanceof RecordTermination end) {
                openEnds.putIfAbsent(end.run(), end);
            }
        }
    }

    private void started(WorkflowState state, ActiveRun run, long nowNanos) {
        if (!state.isActive(run.run())) {
            return;
        }
        HostSession session = sessions.get(run.host().id());
        if (session == null) {
            // The host went while the start was being logged: no order of it was ever sent.
            openEnds.put(run.run(), new RecordTermination(run.run(), TerminalStatus.NOT_BEGUN, ""));
            proofs.put(run.run(), new TerminationEvidence.NotSent(false, false));
            return;
        }
        Job job = state.job(run.run().task().jobId()).orElseThrow();
        session.trackNewRun(run, job.definition().taskSpecification(), "", nowNanos);
        hostsOfRuns.put(run.run(), run.host().id());
        changed(run.host().id());
        stopIfPointless(state, run);
    }

    private void ended(WorkflowState state, RecordTermination end, long nowNanos) {
        String hostId = hostsOfRuns.get(end.run());
        if (hostId != null) {
            endedOn(hostId, end, nowNanos);
        }
        // An end that the host has listed meanwhile in place of an inferred one is still to be logged.
        if (!openEnds.containsKey(end.run())) {
            hostsOfRuns.remove(end.run());
        }
        state.job(end.run().task().jobId()).ifPresent(job -> {
            if (!job.phase().isOpen()) {
                stopRunsOf(job);
            } else if (end.status() == TerminalStatus.DONE) {
                job.step(end.run().task().step()).ifPresent(step -> stopCopies(state, step, end.run()));
            }
        });
    }

    private void endedOn(String hostId, RecordTermination end, long nowNanos) {
        HostSession session = sessions.get(hostId);
        if (session == null) {
            return;
        }
        changed(hostId);
        if (session.onTerminationCommitted(end.run(), end.status())) {
            doubts.recordTermination(hostId, end.status(), nowNanos);
        }
    }

    /** Stops the other runs of a task that is done. */
    private void stopCopies(WorkflowState state, StepProgress step, RunId done) {
        if (step.task(done.task().index()).isDone()) {
            step.task(done.task().index()).activeRuns().forEach(run -> stopIfPointless(state, run));
        }
    }

    /** Stops every run of a job that has ended. */
    void stopRunsOf(Job job) {
        for (StepProgress step : job.steps()) {
            if (step.activeRunCount() == 0) {
                continue;
            }
            for (int index = 0; index < step.specification().taskCount(); index++) {
                step.task(index).activeRuns().forEach(this::stop);
            }
        }
    }

    private void stopIfPointless(WorkflowState state, ActiveRun run) {
        boolean wanted = state.job(run.run().task().jobId())
                .filter(job -> job.phase().isOpen())
                .flatMap(job -> job.step(run.run().task().step()))
                .filter(step -> !step.task(run.run().task().index()).isDone())
                .isPresent();
        if (!wanted) {
            stop(run);
        }
    }

    private void stop(ActiveRun run) {
        HostSession session = sessions.get(run.host().id());
        if (session != null) {
            session.requestStop(run.run());
            changed(run.host().id());
        }
    }

    /** Returns the orders that are due, and takes them as sent. */
    List<HostCommand> dueOrders(long nowNanos) {
        List<HostCommand> due = new ArrayList<>();
        for (String hostId : dueHosts.takeForOrders(nowNanos)) {
            HostSession session = sessions.get(hostId);
            if (session == null) {
                continue;
            }
            work.noteVisit();
            if (session.isObsolete(nowNanos)) {
                doubts.removeHost(hostId);
                sharing.forget(hostId);
                sessions.remove(hostId);
                rooms.forget(hostId);
                continue;
            }
            due.addAll(session.takeDueCommands(nowNanos));
            session.nextDueNanos(nowNanos).ifPresent(next -> dueHosts.touchAt(hostId, next));
        }
        return due;
    }
}
