package org.nettlering.control.workflow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.HostAllocations;
import org.nettlering.domain.workflow.Job;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.WorkflowCommand.RaiseFence;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.WorkflowCommand.StartOccurrence;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.WorkflowCommand.SubmitJob;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.colocation.ColocationController;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostHeartbeat;
import org.nettlering.domain.workflow.host.HostResponse;
import org.nettlering.domain.workflow.host.HostSession;
import org.nettlering.domain.workflow.host.HostTimings;
import org.nettlering.domain.workflow.host.TerminationEvidence;
import org.nettlering.domain.workflow.runtime.RunTimeModel;

/**
 * The volatile state of the leader of one term: host sessions and terminations that are not committed yet.
 *
 * <p>It is not replicated; a new leader rebuilds it from the replicated state and from the responses of hosts.
 *
 * <p>Not thread-safe: used under the lock of {@link WorkflowStateMachine}.
 */
final class WorkflowLeadership {
    /** Delay of an occurrence beyond its due time, so that small clock differences do not start it early. */
    private static final Duration DUE_MARGIN = Duration.ofMillis(50);

    /** The minimum time between two comparisons of the sessions with the replicated state. */
    private static final Duration COMPARISON_INTERVAL = Duration.ofSeconds(1);

    private final long term;

    private final WorkflowOptions options;

    private final LoopMetrics metrics;

    private final LoopFailures failures;

    private final HostSessions sessions;

    private final HostColocation colocation = new HostColocation();

    /** How long tasks run, learned in this term. */
    private final RunTimeModel runTimes = RunTimeModel.empty();

    private final JobAdmission admission;

    private final RunTimeLearning learning;

    private final RunStops stops;

    private final StragglingRuns straggling = new StragglingRuns();

    private final StartPlanning planning;

    private final HostVisitQueue visitQueue = new HostVisitQueue();

    private final UncommittedTerminations terminations = new UncommittedTerminations();

    private final JobBeginnings beginnings = new JobBeginnings();

    private final FinishedJobRetention finishedJobs;

    private final LoopCounters counters = new LoopCounters();

    /** Where runs may start, and which hosts failed runs. */
    private final StartableHosts startableHosts;

    private final HostDepartures departures = new HostDepartures();

    private final ProposedBatch proposedBatch = new ProposedBatch();

    /** The earliest monotonic time of the next comparison of the sessions with the replicated state. */
    private long nextComparisonNanos;

    /** The version of the evacuations that were obeyed last. */
    private long evacuationVersion;

    /** Whether a change since the last plan may allow a task to start. */
    private boolean planRequested = true;

    static WorkflowLeadership takeOver(
            WorkflowState state,
            long term,
            HostTimings timings,
            WorkflowOptions options,
            LoopMetrics metrics,
            LoopFailures failures,
            long nowNanos) {
        HostSessions sessions = new HostSessions(timings, state.fencingToken(term));
        WorkflowLeadership leadership = new WorkflowLeadership(term, sessions, options, metrics, failures, nowNanos);
        for (HostAllocations allocations : state.allocations()) {
            HostSession session = sessions.getOrCreate(allocations.host(), nowNanos);
            for (ActiveRun run : allocations.runs()) {
                session.trackInheritedRun(run, isBestEffort(state, run), nowNanos);
                leadership.terminations.runTracked(run.run(), allocations.host().id());
                metrics.diagnostics()
                        .runs()
                        .runTracked(run.run(), allocations.host().id());
                leadership.stops.stopIfUnneeded(state, run);
            }
        }
        leadership.beginnings.takeOver(state);
        leadership.markAllHostsDue();
        return leadership;
    }

    private static boolean isBestEffort(WorkflowState state, ActiveRun run) {
        return state.step(run.run().task().step())
                .filter(step -> step.specification().has(StepTrait.BEST_EFFORT))
                .isPresent();
    }

    private WorkflowLeadership(
            long term,
            HostSessions sessions,
            WorkflowOptions options,
            LoopMetrics metrics,
            LoopFailures failures,
            long nowNanos) {
        this.term = term;
        this.sessions = sessions;
        this.options = options;
        this.metrics = metrics;
        this.failures = failures;
        nextComparisonNanos = nowNanos;
        finishedJobs = new FinishedJobRetention(nowNanos);
        startableHosts = new StartableHosts(sessions.byHostId(), counters, failures);
        admission = new JobAdmission(startableHosts, runTimes, options, nowNanos);
        learning = new RunTimeLearning(runTimes, admission);
        stops = new RunStops(sessions, metrics, this::markHostChanged);
        planning = new StartPlanning(sessions, startableHosts, colocation, straggling, runTimes, stops, metrics);
    }

    long term() {
        return term;
    }

    LoopCounters counters() {
        return counters;
    }

    Collection<HostSession> sessions() {
        return sessions.all();
    }

    ColocationController colocationController() {
        return colocation.controller();
    }

    JobBeginnings beginnings() {
        return beginnings;
    }

    RunTimeModel runTimes() {
        return runTimes;
    }

    boolean isBackingOff(String hostId, long nowNanos) {
        return startableHosts.failureBackoff().isBackingOff(hostId, nowNanos);
    }

    /** Handles a heartbeat; returns whether it is the first one of this host incarnation in this term. */
    boolean receiveHeartbeat(HostHeartbeat heartbeat, long nowNanos) {
        HostSession session = sessions.getOrCreate(heartbeat.host(), nowNanos);
        boolean first = session.latestHeartbeat().isEmpty();
        session.handleHeartbeat(heartbeat, nowNanos);
        markHostChanged(heartbeat.host().id());
        return first;
    }

    /**
     * Handles the notice of a host that it is shutting down: stops what runs there, as its report is sooner evidence of the end
     * than the lease, and saves the checkpoints.
     *
     * @param emptied called once no run may be active there, possibly before this method returns; must not block
     */
    void hostShuttingDown(String hostId, long startMillis, Runnable emptied, long nowNanos) {
        HostSession session = sessions.get(hostId);
        if (session == null || !session.handleShutdownNotice(startMillis, nowNanos)) {
            emptied.run();
            return;
        }
        stops.stopAll(session);
        markHostChanged(hostId);
        departures.await(hostId, emptied);
        checkDeparture(session);
    }

    private void checkDeparture(HostSession session) {
        if (session.runs().count() == 0) {
            departures.hostEmptied(session.host().id());
        }
    }

    /** Handles the response to a command. */
    void handleResponse(
            WorkflowState state, HostCommand command, long sentNanos, HostResponse response, long nowNanos) {
        metrics.jobsBegan(beginnings.receive(state, command, response));
        HostSession session = sessions.get(command.host().id());
        if (session == null) {
            return;
        }
        markHostChanged(command.host().id());
        List<RecordTermination> proven = session.handleResponse(command, sentNanos, response, nowNanos);
        learning.learn(state, session, proven, nowNanos);
        terminations.addAll(session, proven);
        sessions.checkFence(session);
        if (response instanceof HostResponse.PollResult) {
            startableHosts.recordUsage(session, nowNanos);
            failures.isolate(LoopPart.RESPONSE, command, () -> colocation.adjustThrottling(state, session, nowNanos));
            stopStalledRuns(state, session, nowNanos);
            if (options.copyStragglers()) {
                failures.isolate(
                        LoopPart.RESPONSE, command, () -> straggling.update(state, session, runTimes, nowNanos));
            }
        }
        colocation.updateThrottled(session);
    }

    /** Stops the stalled runs on a host and counts each as a failure of the host. */
    private void stopStalledRuns(WorkflowState state, HostSession session, long nowNanos) {
        int stalled = stops.stopStalled(state, session, nowNanos);
        for (int count = 0; count < stalled; count++) {
            startableHosts.failureBackoff().recordTermination(session.host().id(), TerminalStatus.FAILED, nowNanos);
        }
    }

    /** Removes and returns the evidence of a committed termination. */
    TerminationEvidence removeEvidence(RunId run) {
        return terminations.removeEvidence(run);
    }

    /**
     * Decides on the admission of a job that is not stored; returns why it is rejected, or empty if it is accepted.
     *
     * @param undecided what the undecided jobs would add
     */
    Optional<JobRejection> rejectionOf(
            WorkflowState state, SubmitJob submission, UndecidedDemand undecided, long nowNanos) {
        return admission.decide(state, submission, undecided, nowNanos);
    }

    /**
     * Returns the next batch to propose, or an empty list if a batch is in flight or there is nothing to do.
     *
     * <p>Terminations precede starts. Starts are planned on the state before these terminations, so a host never has less free
     * capacity than the plan assumes. A start whose job is finished by one of the terminations has no effect when it is
     * applied.
     */
    List<WorkflowCommand> nextBatch(WorkflowState state, long nowNanos, long nowMillis) {
        withdrawStartsOnEvacuatedHosts(state);
        if (isBatchAwaited(nowNanos)) {
            return List.of();
        }
        collectInferredTerminations(state, nowNanos);
        List<WorkflowCommand> batch = new ArrayList<>(terminations.takeAll());
        if (planRequested) {
            planRequested = false;
            failures.isolate(LoopPart.PLAN, "term " + term, () -> addPlan(state, nowNanos, nowMillis, batch));
        }
        if (sessions.needFence()) {
            batch.add(new RaiseFence());
        }
        return proposedBatch.propose(batch, nowNanos);
    }

    /** After a change of the evacuations, ends the runs on evacuated hosts whose starts were not passed on. */
    private void withdrawStartsOnEvacuatedHosts(WorkflowState state) {
        if (evacuationVersion == state.evacuations().version()) {
            return;
        }
        evacuationVersion = state.evacuations().version();
        planRequested = true;
        for (HostSession session : sessions.all()) {
            if (HostDrains.isClosed(state.evacuations(), session)) {
                session.runs().withdrawUnsent();
                markHostChanged(session.host().id());
            }
        }
    }

    /** Returns whether the outcome of a batch is awaited; one that is overdue counts as failed, but may still commit. */
    private boolean isBatchAwaited(long nowNanos) {
        if (!proposedBatch.isOverdue(nowNanos)) {
            return proposedBatch.isAwaited();
        }
        List<WorkflowCommand> overdue = proposedBatch.commands();
        failures.addOverdue(
                LoopPart.PROPOSAL, "a batch of " + overdue.size() + " commands", proposedBatch.ageMillis(nowNanos));
        batchFailed(overdue);
        return false;
    }

    private void addPlan(WorkflowState state, long nowNanos, long nowMillis, List<WorkflowCommand> batch) {
        addDueOccurrences(state, nowMillis, batch);
        batch.addAll(finishedJobs.removalsDue(state, nowNanos));
        long planStartNanos = metrics.planStartNanos();
        planning.addTo(batch, state, nowNanos, nowMillis);
        metrics.recordPlan(planStartNanos);
    }

    /** Schedules a visit of a host and discards its cached free capacity. */
    private void markHostChanged(String hostId) {
        visitQueue.markDue(hostId);
        startableHosts.hostChanged(hostId);
    }

    private void collectInferredTerminations(WorkflowState state, long nowNanos) {
        compareIfDue(state, nowNanos);
        for (String hostId : visitQueue.drainTerminationVisits(nowNanos)) {
            HostSession session = sessions.get(hostId);
            if (session != null) {
                counters.countHostVisit();
                failures.isolate(LoopPart.VISIT, hostId, () -> collectInferredTerminations(session, nowNanos));
            }
        }
    }

    private void collectInferredTerminations(HostSession session, long nowNanos) {
        List<RecordTermination> inferred = session.inferTerminations(nowNanos);
        terminations.addAll(session, inferred);
        if (!inferred.isEmpty()) {
            markHostChanged(session.host().id());
        }
    }

    /**
     * Makes the sessions agree with the replicated state. While no batch is in flight, they differ only if the outcome of a
     * batch or of a cancellation was not handled here.
     */
    private void compareIfDue(WorkflowState state, long nowNanos) {
        if (nowNanos - nextComparisonNanos < 0) {
            return;
        }
        nextComparisonNanos = nowNanos + COMPARISON_INTERVAL.toNanos();
        straggling.retainActive(state);
        beginnings.discardFinished(state);
        for (HostSession session : sessions.all()) {
            failures.isolate(LoopPart.VISIT, session.host().id(), () -> compare(state, session, nowNanos));
        }
        for (HostAllocations allocations : state.allocations()) {
            if (!sessions.contains(allocations.host().id())) {
                allocations.runs().forEach(run -> terminations.addUnsent(run.run()));
            }
        }
    }

    private void compare(WorkflowState state, HostSession session, long nowNanos) {
        Collection<ActiveRun> activeRuns = state.allocationsOf(session.host().id())
                .map(HostAllocations::runs)
                .orElse(List.of());
        Set<RunId> activeIds = new HashSet<>();
        for (ActiveRun run : activeRuns) {
            activeIds.add(run.run());
            // A run with an uncommitted termination but without a session was never started, and must not be any more.
            if (!terminations.contains(run.run())) {
                startCommitted(state, run, nowNanos);
                stops.stopIfUnneeded(state, run);
            }
        }
        session.retainRuns(activeIds);
        terminations.addAll(
                session,
                session.runs().uncommittedTerminations().stream()
                        .filter(termination -> !terminations.contains(termination.run()))
                        .toList());
    }

    private static void addDueOccurrences(WorkflowState state, long nowMillis, List<WorkflowCommand> batch) {
        for (Job job : state.periodicJobs()) {
            job.nextOccurrence()
                    .filter(next -> nowMillis >= job.definition().recurrence().dueMillis(next) + DUE_MARGIN.toMillis())
                    .ifPresent(next -> batch.add(new StartOccurrence(job.id(), next)));
        }
    }

    /** Schedules a visit of every host, for whatever becomes due by the passing of time alone. */
    void markAllHostsDue() {
        visitQueue.markAllDue(sessions.byHostId().keySet());
    }

    /** Requests planning in the next batch, after a change of a job, a host or the time of day. */
    void requestPlan() {
        planRequested = true;
    }

    /** Handles a batch that was committed and applied on this member. */
    void batchCommitted(WorkflowState state, List<WorkflowCommand> batch, long nowNanos) {
        proposedBatch.finished(batch);
        planRequested = true;
        for (WorkflowCommand command : batch) {
            failures.isolate(LoopPart.COMMIT, command, () -> commandCommitted(state, command, nowNanos));
        }
    }

    private void commandCommitted(WorkflowState state, WorkflowCommand command, long nowNanos) {
        switch (command) {
            case StartRun start -> startCommitted(state, start.run(), nowNanos);
            case RecordTermination termination -> terminationCommitted(state, termination, nowNanos);
            case RaiseFence raise -> sessions.raiseToken(state.fencingToken(term), nowNanos, this::markHostChanged);
            default -> {}
        }
    }

    /** Handles a batch whose commit failed or is unknown; its terminations are proposed again. */
    void batchFailed(List<WorkflowCommand> batch) {
        proposedBatch.finished(batch);
        terminations.restore(batch);
    }

    private void startCommitted(WorkflowState state, ActiveRun run, long nowNanos) {
        if (!state.isActiveOnItsHost(run)) {
            return;
        }
        Job job = state.job(run.run().task().jobId()).orElseThrow();
        beginnings.startCommitted(job);
        HostSession session = sessions.get(run.host().id());
        if (session == null) {
            terminations.addUnsent(run.run());
            return;
        }
        if (session.runs().contains(run.run())) {
            return;
        }
        if (!StartableHosts.mayStartCommitted(state, session)) {
            terminations.addUnsent(run.run());
            return;
        }
        session.trackNewRun(run, job.definition().taskSpecification(), "", nowNanos);
        if (planning.isThrottledStart(run.run())) {
            session.runs().setSpeed(run.run(), ColocationController.MIN_SPEED_PERCENT);
        }
        if (StartableHosts.isSuspect(state, run.run())) {
            session.runs().watch(run.run());
        }
        terminations.runTracked(run.run(), run.host().id());
        metrics.diagnostics().runTracked(run.run(), run.host().id());
        markHostChanged(run.host().id());
        stops.stopIfUnneeded(state, run);
    }

    private void terminationCommitted(WorkflowState state, RecordTermination termination, long nowNanos) {
        straggling.runTerminated(termination.run());
        terminations.hostIdOf(termination.run()).ifPresent(hostId -> recordTermination(hostId, termination, nowNanos));
        terminations.committed(termination.run());
        state.job(termination.run().task().jobId()).ifPresent(job -> {
            if (!job.phase().isOpen()) {
                stops.stopRuns(job);
            } else if (termination.status() == TerminalStatus.DONE) {
                job.step(termination.run().task().step())
                        .ifPresent(step -> stops.stopDuplicates(state, step, termination.run()));
            }
        });
    }

    private void recordTermination(String hostId, RecordTermination termination, long nowNanos) {
        HostSession session = sessions.get(hostId);
        if (session == null) {
            return;
        }
        markHostChanged(hostId);
        if (session.onTerminationCommitted(termination.run(), termination.status())) {
            checkDeparture(session);
            startableHosts.failureBackoff().recordTermination(hostId, termination.status(), nowNanos);
        }
    }

    /** Stops all runs of a finished job. */
    void stopRuns(Job job) {
        stops.stopRuns(job);
    }

    /** Returns the commands that are due and marks them as sent; removes sessions that are obsolete. */
    List<HostCommand> dueCommands(long nowNanos) {
        List<HostCommand> due = new ArrayList<>();
        for (String hostId : visitQueue.drainCommandVisits(nowNanos)) {
            HostSession session = sessions.get(hostId);
            if (session == null) {
                continue;
            }
            counters.countHostVisit();
            failures.isolate(LoopPart.VISIT, hostId, () -> due.addAll(dueCommands(session, nowNanos)));
        }
        return due;
    }

    /** Treats a command without an outcome as one that the host may have executed, or may execute later. */
    private void settle(HostSession session, HostCommand command, long nowNanos) {
        failures.addOverdue(LoopPart.COMMAND, command, HostSession.OUTCOME_DEADLINE.toMillis());
        HostResponse noResponse = new HostResponse.NoResponse("no outcome in time");
        terminations.addAll(session, session.handleResponse(command, nowNanos, noResponse, nowNanos));
    }

    private List<HostCommand> dueCommands(HostSession session, long nowNanos) {
        String hostId = session.host().id();
        if (session.isObsolete(nowNanos)) {
            startableHosts.removeHost(hostId);
            colocation.removeHost(hostId);
            sessions.remove(hostId);
            departures.hostEmptied(hostId);
            return List.of();
        }
        session.overdueCommands(nowNanos).forEach(command -> settle(session, command, nowNanos));
        List<HostCommand> due = session.takeDueCommands(nowNanos);
        session.nextDueNanos(nowNanos).ifPresent(next -> visitQueue.scheduleVisit(hostId, next));
        return due;
    }
}
