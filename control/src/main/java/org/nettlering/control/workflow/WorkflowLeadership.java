package org.nettlering.control.workflow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.HostAllocations;
import org.nettlering.domain.workflow.Job;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.StepProgress;
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
import org.nettlering.domain.workflow.host.RunUsage;
import org.nettlering.domain.workflow.host.StallDetector;
import org.nettlering.domain.workflow.host.TerminationEvidence;
import org.nettlering.domain.workflow.placement.CopyCandidates;
import org.nettlering.domain.workflow.placement.PlanInput;
import org.nettlering.domain.workflow.placement.RelocationCandidates;
import org.nettlering.domain.workflow.placement.StartPlan;
import org.nettlering.domain.workflow.placement.StartPlanner;
import org.nettlering.domain.workflow.placement.StepWaits;
import org.nettlering.domain.workflow.placement.ThrottledRun;
import org.nettlering.domain.workflow.runtime.RunTimeModel;
import org.nettlering.runtime.log.EventLogger;

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

    /**
     * How long after its proposal a batch without an outcome no longer keeps others from being proposed. A log that can
     * commit does so, or loses its leader, in far less.
     */
    private static final Duration BATCH_DEADLINE = Duration.ofSeconds(10);

    /** The minimum time between two comparisons of the sessions with the replicated state. */
    private static final Duration COMPARISON_INTERVAL = Duration.ofSeconds(1);

    private static final EventLogger LOG = EventLogger.of(WorkflowLeadership.class);

    private final long term;

    /** The fencing token of new sessions. */
    private long token;

    /** The incarnation ids of the hosts that need a higher fencing token. */
    private final Set<String> hostsToFence = new HashSet<>();

    private final HostTimings timings;

    private final WorkflowOptions options;

    private final LoopMetrics metrics;

    private final LoopFailures failures;

    /** The sessions by the incarnation id of the host. */
    private final Map<String, HostSession> sessions = new LinkedHashMap<>();

    private final HostColocation colocation = new HostColocation();

    /** How long tasks run, learned in this term. */
    private final RunTimeModel runTimes = RunTimeModel.empty();

    private final JobAdmission admission;

    private final StragglingRuns straggling = new StragglingRuns();

    private final StepWaits waits = StepWaits.create();

    /** The runs of the last plan that begin at the lowest speed. */
    private Set<RunId> throttledStarts = Set.of();

    private final HostVisitQueue visitQueue = new HostVisitQueue();

    /** The incarnation id of the host of each tracked run. */
    private final Map<RunId, String> hostIdsByRun = new HashMap<>();

    private final Map<RunId, RecordTermination> uncommittedTerminations = new LinkedHashMap<>();

    /** The evidence of terminations that have not been written to the event log yet. */
    private final Map<RunId, TerminationEvidence> evidenceByRun = new HashMap<>();

    private final FinishedJobRetention finishedJobs;

    private final LoopCounters counters = new LoopCounters();

    /** Where runs may start, and which hosts failed runs. */
    private final StartableHosts startableHosts;

    /** The batch that was proposed to the log and has neither been committed nor failed; empty for none. */
    private List<WorkflowCommand> batchInFlight = List.of();

    /** When that batch was proposed, by the monotonic clock. */
    private long batchProposedNanos;

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
        WorkflowLeadership leadership = new WorkflowLeadership(term, timings, options, metrics, failures, nowNanos);
        leadership.token = state.fencingToken(term);
        for (HostAllocations allocations : state.allocations()) {
            HostSession session = leadership.sessionOf(allocations, nowNanos);
            for (ActiveRun run : allocations.runs()) {
                session.trackInheritedRun(run, isBestEffort(state, run), nowNanos);
                leadership.hostIdsByRun.put(run.run(), allocations.host().id());
                metrics.diagnostics()
                        .runs()
                        .runTracked(run.run(), allocations.host().id());
                leadership.stopIfUnneeded(state, run);
            }
        }
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
            HostTimings timings,
            WorkflowOptions options,
            LoopMetrics metrics,
            LoopFailures failures,
            long nowNanos) {
        this.term = term;
        this.timings = timings;
        this.options = options;
        this.metrics = metrics;
        this.failures = failures;
        nextComparisonNanos = nowNanos;
        finishedJobs = new FinishedJobRetention(nowNanos);
        startableHosts = new StartableHosts(sessions, counters, failures);
        admission = new JobAdmission(startableHosts, runTimes, options, nowNanos);
    }

    private HostSession sessionOf(HostAllocations allocations, long nowNanos) {
        return sessions.computeIfAbsent(
                allocations.host().id(), id -> HostSession.create(allocations.host(), timings, token, nowNanos));
    }

    long term() {
        return term;
    }

    LoopCounters counters() {
        return counters;
    }

    Collection<HostSession> sessions() {
        return sessions.values();
    }

    ColocationController colocationController() {
        return colocation.controller();
    }

    RunTimeModel runTimes() {
        return runTimes;
    }

    boolean isBackingOff(String hostId, long nowNanos) {
        return startableHosts.failureBackoff().isBackingOff(hostId, nowNanos);
    }

    /** Handles a heartbeat; returns whether it is the first one of this host incarnation in this term. */
    boolean receiveHeartbeat(HostHeartbeat heartbeat, long nowNanos) {
        HostSession session = sessions.get(heartbeat.host().id());
        boolean first = session == null || session.latestHeartbeat().isEmpty();
        if (session == null) {
            session = HostSession.create(heartbeat.host(), timings, token, nowNanos);
            sessions.put(heartbeat.host().id(), session);
        }
        session.handleHeartbeat(heartbeat, nowNanos);
        markHostChanged(heartbeat.host().id());
        return first;
    }

    void hostShuttingDown(String hostId, long startMillis, long nowNanos) {
        HostSession session = sessions.get(hostId);
        if (session != null) {
            session.handleShutdownNotice(startMillis, nowNanos);
            markHostChanged(hostId);
        }
    }

    /** Handles the response to a command. */
    void handleResponse(
            WorkflowState state, HostCommand command, long sentNanos, HostResponse response, long nowNanos) {
        HostSession session = sessions.get(command.host().id());
        if (session == null) {
            return;
        }
        markHostChanged(command.host().id());
        List<RecordTermination> terminations = session.handleResponse(command, sentNanos, response, nowNanos);
        learnRunTimes(state, session, terminations, nowNanos);
        addTerminations(session, terminations);
        if (response instanceof HostResponse.PollResult) {
            addToFence(session);
            failures.isolate(LoopPart.RESPONSE, command, () -> colocation.adjustThrottling(state, session, nowNanos));
            stopStalledRuns(state, session, nowNanos);
            if (options.copyStragglers()) {
                failures.isolate(
                        LoopPart.RESPONSE, command, () -> straggling.update(state, session, runTimes, nowNanos));
            }
        }
        colocation.updateThrottled(session);
    }

    private void learnRunTimes(
            WorkflowState state, HostSession session, List<RecordTermination> terminations, long nowNanos) {
        for (RecordTermination termination : terminations) {
            StepProgress step = state.step(termination.run().task().step()).orElse(null);
            if (step == null
                    || termination.status() != TerminalStatus.DONE
                    || step.specification().has(StepTrait.LONG_RUNNING)) {
                continue;
            }
            session.runs()
                    .uninterruptedRunTime(termination.run(), nowNanos)
                    .ifPresent(runTime -> learnRunTime(step, runTime.toMillis(), nowNanos));
        }
    }

    private void learnRunTime(StepProgress step, long runTimeMillis, long nowNanos) {
        admission.taskDone(step, runTimeMillis, nowNanos);
        // A best-effort run takes longer the less the others on its host leave it.
        if (!step.specification().has(StepTrait.BEST_EFFORT)) {
            long declaredMillis = step.specification().estimatedRuntimeMillis();
            runTimes.add(step.job().terms().queue(), step.id(), declaredMillis, runTimeMillis);
        }
    }

    private void addToFence(HostSession session) {
        if (session.needsFence()) {
            hostsToFence.add(session.host().id());
        }
    }

    /** Uses the token that was raised for the hosts that need it; no command with it was sent before. */
    private void fenceCommitted(WorkflowState state, long nowNanos) {
        token = state.fencingToken(term);
        for (String hostId : hostsToFence) {
            HostSession session = sessions.get(hostId);
            if (session != null) {
                session.raiseToken(token, nowNanos);
                markHostChanged(hostId);
            }
        }
        hostsToFence.clear();
    }

    /** Stops the stalled runs on a host, so that their tasks start elsewhere, and counts each as a failure of the host. */
    private void stopStalledRuns(WorkflowState state, HostSession session, long nowNanos) {
        for (RunUsage usage : session.runs().usages()) {
            boolean stalled = state.step(usage.run().task().step())
                    .map(StepProgress::specification)
                    .filter(step -> StallDetector.isStalled(step, usage, nowNanos))
                    .isPresent();
            if (stalled) {
                session.runs().requestStop(usage.run());
                metrics.diagnostics().runs().stopRequested(usage.run(), StopReason.STALLED);
                startableHosts.failureBackoff().recordTermination(session.host().id(), TerminalStatus.FAILED, nowNanos);
            }
        }
    }

    private void addTerminations(HostSession session, List<RecordTermination> terminations) {
        for (RecordTermination termination : terminations) {
            uncommittedTerminations.put(termination.run(), termination);
            hostIdsByRun.put(termination.run(), session.host().id());
            session.runs()
                    .evidenceOf(termination.run())
                    .ifPresent(evidence -> evidenceByRun.put(termination.run(), evidence));
        }
    }

    /** Removes and returns the evidence of a committed termination. */
    TerminationEvidence removeEvidence(RunId run) {
        TerminationEvidence evidence = evidenceByRun.remove(run);
        return evidence == null ? new TerminationEvidence.Listed() : evidence;
    }

    /** Decides on the admission of a job; returns the retry delay if it is rejected, or empty if it is accepted. */
    Optional<Duration> retryAfterIfRejected(WorkflowState state, SubmitJob submission, long nowNanos) {
        return admission.retryDelay(state, submission, nowNanos);
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
        List<WorkflowCommand> batch = new ArrayList<>(uncommittedTerminations.values());
        if (planRequested) {
            planRequested = false;
            failures.isolate(LoopPart.PLAN, "term " + term, () -> addPlan(state, nowNanos, nowMillis, batch));
        }
        if (!hostsToFence.isEmpty()) {
            batch.add(new RaiseFence());
        }
        uncommittedTerminations.clear();
        batchInFlight = List.copyOf(batch);
        batchProposedNanos = nowNanos;
        return batchInFlight;
    }

    /** After a change of the evacuations, ends the runs on evacuated hosts whose starts were not passed on. */
    private void withdrawStartsOnEvacuatedHosts(WorkflowState state) {
        if (evacuationVersion == state.evacuations().version()) {
            return;
        }
        evacuationVersion = state.evacuations().version();
        planRequested = true;
        for (HostSession session : sessions.values()) {
            if (HostDrains.isClosed(state.evacuations(), session)) {
                session.runs().withdrawUnsent();
                markHostChanged(session.host().id());
            }
        }
    }

    /** Returns whether the outcome of a batch is awaited; one that is overdue counts as failed, but may still commit. */
    private boolean isBatchAwaited(long nowNanos) {
        if (batchInFlight.isEmpty()) {
            return false;
        }
        long ageNanos = nowNanos - batchProposedNanos;
        if (ageNanos < BATCH_DEADLINE.toNanos()) {
            return true;
        }
        failures.addOverdue(
                LoopPart.PROPOSAL,
                "a batch of " + batchInFlight.size() + " commands",
                TimeUnit.NANOSECONDS.toMillis(ageNanos));
        batchFailed(batchInFlight);
        return false;
    }

    private void addPlan(WorkflowState state, long nowNanos, long nowMillis, List<WorkflowCommand> batch) {
        addDueOccurrences(state, nowMillis, batch);
        batch.addAll(finishedJobs.removalsDue(state, nowNanos));
        long planStartNanos = metrics.planStartNanos();
        addStarts(state, nowNanos, nowMillis, batch);
        metrics.recordPlan(planStartNanos);
    }

    private void addStarts(WorkflowState state, long nowNanos, long nowMillis, List<WorkflowCommand> batch) {
        waits.update(state.pendingSteps(), nowNanos);
        List<ThrottledRun> throttled = colocation.throttledRuns(state, sessions, nowNanos);
        RelocationCandidates relocations = new RelocationCandidates(
                throttled,
                HostDrains.movingRuns(state, sessions.values(), runTimes),
                run -> HostDrains.isAtWork(sessions, run, nowNanos));
        CopyCandidates copies = straggling.candidates(state);
        if (state.pendingSteps().isEmpty()
                && relocations.isEmpty()
                && copies.stragglers().isEmpty()) {
            return;
        }
        PlanInput input = new PlanInput(
                startableHosts.freeCapacities(state, nowNanos),
                step -> waits.isOverdue(step, nowNanos),
                colocation.controller(),
                relocations,
                copies,
                runTimes,
                nowMillis);
        StartPlan plan = StartPlanner.plan(state, input);
        plan.copies().forEach(copy -> addCopy(state, copy, batch));
        batch.addAll(plan.starts());
        throttledStarts = plan.throttledStarts();
        plan.migrations().forEach(this::migrate);
        plan.drainMoves().forEach(this::moveOff);
    }

    private void addCopy(WorkflowState state, StartRun copy, List<WorkflowCommand> batch) {
        LOG.log(WorkflowEvent.COPY_STARTED, copy.run().run(), copy.run().host().id());
        metrics.copyStarted();
        straggling.copyPlanned(state, copy.run().run());
        batch.add(copy);
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
        addTerminations(session, inferred);
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
        for (HostSession session : sessions.values()) {
            failures.isolate(LoopPart.VISIT, session.host().id(), () -> compare(state, session, nowNanos));
        }
        for (HostAllocations allocations : state.allocations()) {
            if (!sessions.containsKey(allocations.host().id())) {
                allocations.runs().forEach(this::endUnsentRun);
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
            if (!uncommittedTerminations.containsKey(run.run())) {
                startCommitted(state, run, nowNanos);
                stopIfUnneeded(state, run);
            }
        }
        session.retainRuns(activeIds);
        addTerminations(
                session,
                session.runs().uncommittedTerminations().stream()
                        .filter(termination -> !uncommittedTerminations.containsKey(termination.run()))
                        .toList());
    }

    private void migrate(ActiveRun run) {
        LOG.log(WorkflowEvent.RUN_MIGRATED, run.run(), run.host().id());
        stop(run, StopReason.MIGRATED);
    }

    private void moveOff(ActiveRun run) {
        LOG.log(WorkflowEvent.RUN_MOVED, run.run(), run.host().id());
        stop(run, StopReason.HOST_EMPTIED);
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
        visitQueue.markAllDue(sessions.keySet());
    }

    /** Requests planning in the next batch, after a change of a job, a host or the time of day. */
    void requestPlan() {
        planRequested = true;
    }

    /** Handles a batch that was committed and applied on this member. */
    void batchCommitted(WorkflowState state, List<WorkflowCommand> batch, long nowNanos) {
        batchFinished(batch);
        planRequested = true;
        for (WorkflowCommand command : batch) {
            failures.isolate(LoopPart.COMMIT, command, () -> commandCommitted(state, command, nowNanos));
        }
    }

    private void commandCommitted(WorkflowState state, WorkflowCommand command, long nowNanos) {
        switch (command) {
            case StartRun start -> startCommitted(state, start.run(), nowNanos);
            case RecordTermination termination -> terminationCommitted(state, termination, nowNanos);
            case RaiseFence raise -> fenceCommitted(state, nowNanos);
            default -> {}
        }
    }

    /** Permits the next batch, unless the one that finished was overdue and another one is in flight already. */
    private void batchFinished(List<WorkflowCommand> batch) {
        if (batch.equals(batchInFlight)) {
            batchInFlight = List.of();
        }
    }

    /** Handles a batch whose commit failed or is unknown; its terminations are proposed again. */
    void batchFailed(List<WorkflowCommand> batch) {
        batchFinished(batch);
        for (WorkflowCommand command : batch) {
            if (command instanceof RecordTermination termination) {
                uncommittedTerminations.putIfAbsent(termination.run(), termination);
            }
        }
    }

    private void startCommitted(WorkflowState state, ActiveRun run, long nowNanos) {
        if (!state.isActiveOnItsHost(run)) {
            return;
        }
        HostSession session = sessions.get(run.host().id());
        if (session == null) {
            endUnsentRun(run);
            return;
        }
        if (session.runs().contains(run.run())) {
            return;
        }
        if (!StartableHosts.mayStartCommitted(state, session)) {
            endUnsentRun(run);
            return;
        }
        Job job = state.job(run.run().task().jobId()).orElseThrow();
        session.trackNewRun(run, job.definition().taskSpecification(), "", nowNanos);
        if (throttledStarts.contains(run.run())) {
            session.runs().setSpeed(run.run(), ColocationController.MIN_SPEED_PERCENT);
        }
        hostIdsByRun.put(run.run(), run.host().id());
        metrics.diagnostics().runTracked(run.run(), run.host().id());
        markHostChanged(run.host().id());
        stopIfUnneeded(state, run);
    }

    /**
     * Ends a run whose start is committed, but whose start command is not sent: its host is gone, has shrunk or is to be
     * emptied.
     */
    private void endUnsentRun(ActiveRun run) {
        uncommittedTerminations.put(run.run(), new RecordTermination(run.run(), TerminalStatus.NOT_BEGUN, ""));
        evidenceByRun.put(run.run(), new TerminationEvidence.NotSent(false, false));
    }

    private void terminationCommitted(WorkflowState state, RecordTermination termination, long nowNanos) {
        straggling.runTerminated(termination.run());
        String hostId = hostIdsByRun.get(termination.run());
        if (hostId != null) {
            recordTermination(hostId, termination, nowNanos);
        }
        // The host may have reported a termination that replaces an inferred one; that one is not committed yet.
        if (!uncommittedTerminations.containsKey(termination.run())) {
            hostIdsByRun.remove(termination.run());
        }
        state.job(termination.run().task().jobId()).ifPresent(job -> {
            if (!job.phase().isOpen()) {
                stopRuns(job);
            } else if (termination.status() == TerminalStatus.DONE) {
                job.step(termination.run().task().step())
                        .ifPresent(step -> stopDuplicateRuns(state, step, termination.run()));
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
            startableHosts.failureBackoff().recordTermination(hostId, termination.status(), nowNanos);
        }
    }

    /** Stops the other runs of a completed task. */
    private void stopDuplicateRuns(WorkflowState state, StepProgress step, RunId completedRun) {
        if (step.task(completedRun.task().index()).isDone()) {
            step.task(completedRun.task().index()).activeRuns().forEach(run -> stopIfUnneeded(state, run));
        }
    }

    /** Stops all runs of a finished job. */
    void stopRuns(Job job) {
        metrics.diagnostics().runs().jobFinished(job.id(), job.phase());
        for (StepProgress step : job.steps()) {
            if (step.activeRunCount() == 0) {
                continue;
            }
            for (int index = 0; index < step.specification().taskCount(); index++) {
                step.task(index).activeRuns().forEach(run -> stop(run, StopReason.ofFinishedJob(job.phase())));
            }
        }
    }

    private void stopIfUnneeded(WorkflowState state, ActiveRun run) {
        if (!isNeeded(state, run)) {
            stop(run, StopReason.ofUnneeded(state, run.run()));
        }
    }

    /** Returns whether the task of a run is still to be done. */
    private static boolean isNeeded(WorkflowState state, ActiveRun run) {
        return state.job(run.run().task().jobId())
                .filter(job -> job.phase().isOpen())
                .flatMap(job -> job.step(run.run().task().step()))
                .filter(step -> !step.task(run.run().task().index()).isDone())
                .isPresent();
    }

    private void stop(ActiveRun run, StopReason reason) {
        HostSession session = sessions.get(run.host().id());
        if (session != null && session.runs().requestStop(run.run())) {
            metrics.diagnostics().runs().stopRequested(run.run(), reason);
            markHostChanged(run.host().id());
        }
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
        addTerminations(session, session.handleResponse(command, nowNanos, noResponse, nowNanos));
    }

    private List<HostCommand> dueCommands(HostSession session, long nowNanos) {
        String hostId = session.host().id();
        if (session.isObsolete(nowNanos)) {
            startableHosts.removeHost(hostId);
            colocation.removeHost(hostId);
            sessions.remove(hostId);
            return List.of();
        }
        session.overdueCommands(nowNanos).forEach(command -> settle(session, command, nowNanos));
        List<HostCommand> due = session.takeDueCommands(nowNanos);
        session.nextDueNanos(nowNanos).ifPresent(next -> visitQueue.scheduleVisit(hostId, next));
        return due;
    }
}
