package org.nettlering.control.workflow;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.nettlering.control.workflow.SharedLog.ProposalFault;
import org.nettlering.domain.queue.QueueTerms;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.JobTerms;
import org.nettlering.domain.workflow.PlacementConstraints;
import org.nettlering.domain.workflow.Recurrence;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.StepServiceLevel;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.TaskId;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostResponse;
import org.nettlering.domain.workflow.host.HostResponse.Accepted;
import org.nettlering.domain.workflow.host.HostResponse.NoResponse;
import org.nettlering.domain.workflow.host.HostResponse.OtherIncarnation;
import org.nettlering.domain.workflow.host.HostResponse.Rejected;
import org.nettlering.domain.workflow.host.HostResponse.RejectionReason;
import org.nettlering.domain.workflow.host.HostTimings;
import org.nettlering.wire.codec.WorkflowCommandCodec;
import org.nettlering.wire.proto.CommandProto.SiteCommand;

/** One seeded simulation of the task protocol; see {@link TaskProtocolSimulationTest}. */
final class TaskProtocolSimulation implements FakeHost.Listener {
    private static final int STEP_MILLIS = 20;
    private static final int FAULTY_STEPS = 1_500;
    private static final int FAULT_FREE_STEPS = 1_500;
    private static final int JOBS = 8;
    private static final int ATTEMPTS = 2;
    private static final int HOSTS = 3;
    private static final int STEPS_BETWEEN_REBIRTHS = 700;
    private static final Duration LONG_RUNS = Duration.ofSeconds(11);
    private static final int TASKS_AFTER_A_REBIRTH = 2 * HOSTS;
    private static final int MEMBERS = 3;
    /** How long a host is down that starts again under its id. */
    private static final Duration DOWNTIME = Duration.ofMillis(600);

    /** How long a command may have no response, besides the time for which it waits at the host. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(800);

    private static final HostTimings TIMINGS =
            new HostTimings(Duration.ofSeconds(5), Duration.ofSeconds(6), Duration.ofMillis(200));

    /** Leases of half the longest one, which a host grants that is asked by the clock of another incarnation. */
    private static final HostTimings SHORT_LEASE_TIMINGS =
            new HostTimings(Duration.ofSeconds(3), TIMINGS.maxLease(), TIMINGS.stopGrace());

    private final SplittableRandom random;

    /** Draws the faults of the program itself: exceptions and outcomes that never come. */
    private final SplittableRandom programFaults;

    /** Draws whether a host that crashed keeps its id. */
    private final SplittableRandom rebirths;

    private final InjectedFault fault;

    private final HostTimings timings;
    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final SharedLog log = new SharedLog();
    private final List<ControlMember> members = new ArrayList<>();
    private final FakeHost[] hosts = new FakeHost[HOSTS];
    private final long[] partitionedUntilNanos = new long[HOSTS];
    private final Set<RunId> activeRuns = new HashSet<>();
    private final Set<RunId> supersededDoneRuns = new HashSet<>();
    private final Map<TaskId, Integer> acknowledgedFailures = new HashMap<>();
    private final Set<RunId> doneRuns = new HashSet<>();
    private final Set<TaskId> tasksAcknowledgedDone = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private final SimulatedOperator operator;

    private boolean commandIsLate;
    private boolean idsMayBeKept;

    /** Whether hosts that crash start again under their id and are cut off soon after, while polls wait at them. */
    private boolean cutOffAfterRebirths;

    /** Whether leaders are replaced, and hosts start again under their id, while the heartbeats of a host pass and its commands do not. */
    private boolean rebirthsUnseenByLeaders;

    /** Until when the commands to each host are lost, whose heartbeats pass. */
    private final long[] commandsLostUntilNanos = new long[HOSTS];

    /** Until when runs take long, so that some are at work when a host is cut off after its rebirth. */
    private long longRunsUntilNanos;

    private int leaderIndex;
    private int incarnationCount;
    private int submissionCount;
    private boolean faultsEnabled = true;

    /** Runs the simulation of a seed and returns its first violation. */
    static Optional<String> simulate(long seed, InjectedFault fault) {
        return simulate(new TaskProtocolSimulation(seed, fault));
    }

    /** Runs the simulation of a seed in which half of the hosts that crash keep their id; returns its first violation. */
    static Optional<String> simulateWithKeptIds(long seed) {
        TaskProtocolSimulation simulation = new TaskProtocolSimulation(seed, InjectedFault.NONE);
        simulation.idsMayBeKept = true;
        return simulate(simulation);
    }

    /**
     * Runs the simulation of a seed in which hosts that crash start again under their id and are cut off soon after, while polls wait at
     * them; returns its first violation. Commands that were sent before a rebirth are not executed after it.
     */
    static Optional<String> simulateCutsAfterRebirths(long seed) {
        TaskProtocolSimulation simulation = new TaskProtocolSimulation(seed, InjectedFault.NONE);
        simulation.cutOffAfterRebirths = true;
        return simulate(simulation);
    }

    /**
     * Runs the simulation of a seed in which a new leader hears of hosts by heartbeats alone before they start again under their id, and
     * the hosts are cut off later, while work that came since runs there; returns its first violation. Commands that were sent before a rebirth are
     * not executed after it.
     */
    static Optional<String> simulateRebirthsUnseenByLeaders(long seed) {
        TaskProtocolSimulation simulation = new TaskProtocolSimulation(seed, InjectedFault.NONE, SHORT_LEASE_TIMINGS);
        simulation.cutOffAfterRebirths = true;
        simulation.rebirthsUnseenByLeaders = true;
        List.of(simulation.hosts).forEach(FakeHost::tellStartAlways);
        return simulate(simulation);
    }

    private static Optional<String> simulate(TaskProtocolSimulation simulation) {
        simulation.run();
        return simulation.violations.stream().findFirst();
    }

    private TaskProtocolSimulation(long seed, InjectedFault fault) {
        this(seed, fault, TIMINGS);
    }

    private TaskProtocolSimulation(long seed, InjectedFault fault, HostTimings timings) {
        this.timings = timings;
        random = new SplittableRandom(seed);
        programFaults = new SplittableRandom(-seed);
        rebirths = new SplittableRandom(~seed);
        operator = new SimulatedOperator(seed + 1, time, HOSTS);
        this.fault = fault;
        if (fault == InjectedFault.UNREPLICATED_STARTS) {
            log.replicateOnly(TaskProtocolSimulation::containsNoStart);
        }
        for (int host = 0; host < HOSTS; host++) {
            hosts[host] = newIncarnation(host);
        }
        for (int member = 0; member < MEMBERS; member++) {
            members.add(new ControlMember());
        }
    }

    private static boolean containsNoStart(SiteCommand command) {
        WorkflowCommand decoded = WorkflowCommandCodec.decode(command.getWorkflow());
        return !(decoded instanceof WorkflowCommand.Batch batch)
                || batch.commands().stream().noneMatch(WorkflowCommand.StartRun.class::isInstance);
    }

    private FakeHost newIncarnation(int host) {
        incarnationCount++;
        return new FakeHost("h" + host + "-" + incarnationCount, "10.0.0." + host + ":80", time, this);
    }

    private void run() {
        for (int job = 0; job < JOBS; job++) {
            submit("job" + job, 1 + random.nextInt(3));
        }
        log.injectProposalFaults(this::drawProposalFault);
        for (int step = 0; step < FAULTY_STEPS && violations.isEmpty(); step++) {
            maybeDisrupt(step);
            advance(step);
        }
        faultsEnabled = false;
        log.injectProposalFaults(() -> ProposalFault.NONE);
        ControlMember last = members.get(leaderIndex);
        operator.finishAll(last.member, last.stateMachine);
        for (int step = 0; step < FAULT_FREE_STEPS && violations.isEmpty(); step++) {
            advance(step);
        }
        if (fault == InjectedFault.NONE && violations.isEmpty()) {
            checkAllJobsFinished();
        }
    }

    private ProposalFault drawProposalFault() {
        int draw = faultsEnabled ? programFaults.nextInt(1_000) : 1_000;
        if (draw < 3) {
            return ProposalFault.EXCEPTION;
        }
        if (draw < 6) {
            return ProposalFault.LOST;
        }
        return draw < 9 ? ProposalFault.LOST_OUTCOME : ProposalFault.NONE;
    }

    private void advance(int step) {
        time.advance(Duration.ofMillis(STEP_MILLIS));
        for (int host = 0; host < HOSTS; host++) {
            FakeHost current = hosts[host];
            current.expireLeaseIfDue();
            for (RunId run : current.runs()) {
                maybeTerminate(current, run);
            }
            if (step % 50 == host && !isPartitioned(host)) {
                sendHeartbeat(current);
            }
        }
    }

    private void maybeTerminate(FakeHost host, RunId run) {
        boolean runsAreLong = faultsEnabled && time.nanoTime() < longRunsUntilNanos;
        int draw = random.nextInt(runsAreLong ? 10_000 : 1_000);
        if (draw < 15) {
            host.terminateIfRunning(run, draw < 4 ? TerminalStatus.FAILED : TerminalStatus.DONE);
        }
    }

    private void maybeDisrupt(int step) {
        if (rebirthsUnseenByLeaders) {
            maybeCrashUnseen(step);
            return;
        }
        int draw = random.nextInt(2_000);
        int host = random.nextInt(HOSTS);
        if (draw < 6 && cutOffAfterRebirths) {
            crashAndCutOff(host);
        } else if (draw < 6) {
            hosts[host].crash();
            boolean idKept = idsMayBeKept && rebirths.nextBoolean();
            hosts[host] = idKept ? hosts[host].reborn() : newIncarnation(host);
        } else if (draw < 16) {
            partitionedUntilNanos[host] =
                    time.nanoTime() + Duration.ofMillis(random.nextInt(9_000)).toNanos();
        } else if (draw < 26) {
            replaceLeader();
        }
        ControlMember current = members.get(leaderIndex);
        operator.maybeOrder(current.member, current.stateMachine);
    }

    private void crashAndCutOff(int host) {
        FakeHost crashed = hosts[host];
        if (!crashed.isUp()) {
            return;
        }
        crashAndCutOff(host, Duration.ofMillis(rebirths.nextInt(2_500)));
    }

    private void crashAndCutOff(int host, Duration reachable) {
        FakeHost crashed = hosts[host];
        crashed.crash();
        time.schedule(DOWNTIME, () -> hosts[host] = crashed.reborn());
        Duration cutOff = Duration.ofMillis(rebirths.nextInt(9_000));
        time.schedule(DOWNTIME.plus(reachable), () -> partitionedUntilNanos[host] = time.nanoTime() + cutOff.toNanos());
    }

    /** Leaves time between two rebirths, in which the hosts become idle and the leader stays. */
    private void maybeCrashUnseen(int step) {
        if (step % STEPS_BETWEEN_REBIRTHS == STEPS_BETWEEN_REBIRTHS - 1) {
            crashUnseenByTheNextLeader(rebirths.nextInt(HOSTS));
        }
    }

    private void crashUnseenByTheNextLeader(int host) {
        FakeHost crashing = hosts[host];
        Duration untilCrash = Duration.ofMillis(500 + rebirths.nextInt(3_000));
        Duration untilHealed = untilCrash.plus(DOWNTIME).plusMillis(rebirths.nextInt(1_000));
        commandsLostUntilNanos[host] = time.nanoTime() + untilHealed.toNanos();
        time.schedule(Duration.ofMillis(rebirths.nextInt(400)), this::replaceLeader);
        time.schedule(untilHealed.plusMillis(rebirths.nextInt(1_500)), this::submitDespiteFaults);
        time.schedule(untilHealed, () -> longRunsUntilNanos = time.nanoTime() + LONG_RUNS.toNanos());
        time.schedule(untilCrash, () -> {
            if (hosts[host] == crashing && crashing.isUp()) {
                crashAndCutOff(host, Duration.ofMillis(1_000 + rebirths.nextInt(4_000)));
            }
        });
    }

    private void checkEvacuation(FakeHost host, RunId run) {
        if (operator.isEvacuationInForce(host.failureDomain()) && !commandIsLate) {
            violations.add("start in an evacuated failure domain: " + run);
        }
    }

    private void replaceLeader() {
        ControlMember oldLeader = members.get(leaderIndex);
        if (random.nextBoolean()) {
            oldLeader.member.becomeStaleLeader();
            time.schedule(Duration.ofMillis(random.nextInt(800)), oldLeader.member::noticeReplacement);
        }
        leaderIndex = (leaderIndex + 1 + random.nextInt(MEMBERS - 1)) % MEMBERS;
        members.get(leaderIndex).member.noticeReplacement();
        log.elect(members.get(leaderIndex).member);
    }

    private boolean isPartitioned(int host) {
        return faultsEnabled && time.nanoTime() < partitionedUntilNanos[host];
    }

    private boolean areCommandsLost(int host) {
        return faultsEnabled && time.nanoTime() < commandsLostUntilNanos[host];
    }

    private void sendHeartbeat(FakeHost host) {
        ControlMember current = members.get(leaderIndex);
        current.loop.update(leadership -> leadership.receiveHeartbeat(host.heartbeat(false), time.nanoTime()));
    }

    private void submit(String id, int tasks) {
        members.get(leaderIndex)
                .member
                .propose(submission(id, tasks))
                .toCompletableFuture()
                .join();
    }

    private void submitDespiteFaults() {
        submissionCount++;
        try {
            members.get(leaderIndex).member.propose(submission("later" + submissionCount, TASKS_AFTER_A_REBIRTH));
        } catch (IllegalStateException injected) {
            // The caller gets no response.
        }
    }

    private static SiteCommand submission(String id, int tasks) {
        StepSpecification step = new StepSpecification(
                tasks,
                Resources.of(1_000, 100, 0),
                600_000,
                List.of(),
                Set.of(),
                PlacementConstraints.NONE,
                StepServiceLevel.UNSPECIFIED);
        JobTerms terms = new JobTerms("q", "pool", new QueueTerms(0, ATTEMPTS, 1.5, 250, false));
        JobDefinition definition = new JobDefinition("work", List.of(step), Recurrence.ONCE);
        return SiteCommand.newBuilder()
                .setWorkflow(WorkflowCommandCodec.encode(new WorkflowCommand.SubmitJob(id, terms, definition, 0)))
                .build();
    }

    private void checkAllJobsFinished() {
        members.get(leaderIndex).stateMachine.read((state, queues) -> {
            state.jobs().stream()
                    .filter(job -> job.phase().isOpen())
                    .forEach(job -> violations.add("job " + job.id() + " has not finished: " + job.phase()));
            return state;
        });
    }

    @Override
    public void runStarted(FakeHost host, RunId run) {
        TaskId task = run.task();
        checkEvacuation(host, run);
        if (activeRuns.stream().anyMatch(other -> other.task().equals(task))) {
            violations.add("two runs at the same time: " + run + " and " + activeRuns);
        }
        if (tasksAcknowledgedDone.contains(task)) {
            violations.add("start after an acknowledged DONE termination: " + run);
        }
        if (acknowledgedFailures.getOrDefault(task, 0) >= ATTEMPTS) {
            violations.add("start after the last allowed attempt: " + run);
        }
        doneRuns.stream().filter(doneRun -> doneRun.task().equals(task)).forEach(supersededDoneRuns::add);
        activeRuns.add(run);
    }

    @Override
    public void runTerminated(FakeHost host, RunId run, TerminalStatus status) {
        activeRuns.remove(run);
        if (status == TerminalStatus.DONE) {
            doneRuns.add(run);
        }
    }

    @Override
    public void terminationAcknowledged(FakeHost host, RunId run, TerminalStatus status, boolean leaseHeld) {
        if (status == TerminalStatus.DONE) {
            tasksAcknowledgedDone.add(run.task());
            if (leaseHeld && supersededDoneRuns.contains(run)) {
                violations.add("DONE termination acknowledged after another start: " + run);
            }
        }
        if (status == TerminalStatus.FAILED && leaseHeld) {
            acknowledgedFailures.merge(run.task(), 1, Integer::sum);
        }
    }

    private CompletionStage<HostResponse> send(HostCommand command) {
        int draw = faultsEnabled ? programFaults.nextInt(1_000) : 1_000;
        if (draw < 3) {
            throw new IllegalStateException("injected before sending");
        }
        CompletionStage<HostResponse> response = exchange(command);
        if (draw < 6) {
            throw new IllegalStateException("injected after sending");
        }
        return draw < 12 ? new CompletableFuture<>() : response;
    }

    private CompletionStage<HostResponse> exchange(HostCommand command) {
        HostResponse response = deliver(injectFault(command));
        boolean waits = cutOffAfterRebirths && response instanceof HostResponse.PollResult;
        return waits && command instanceof HostCommand.Poll poll
                ? responseAfterWait(poll)
                : CompletableFuture.completedFuture(injectFault(command, response));
    }

    /** Lets a poll wait at the host that has received it, and hang if that host is gone or cut off by then. */
    private CompletionStage<HostResponse> responseAfterWait(HostCommand.Poll poll) {
        int host = hostIndex(poll);
        FakeHost polled = hosts[host];
        CompletableFuture<HostResponse> outcome = new CompletableFuture<>();
        time.schedule(Duration.ofMillis(poll.maxWaitMillis()), () -> {
            if (hosts[host] == polled && polled.isUp() && !isPartitioned(host) && !areCommandsLost(host)) {
                outcome.complete(polled.handle(poll));
            } else {
                time.schedule(RESPONSE_TIMEOUT, () -> outcome.complete(new NoResponse("hung")));
            }
        });
        return outcome;
    }

    private HostResponse deliver(HostCommand command) {
        int host = hostIndex(command);
        int draw = faultsEnabled ? random.nextInt(100) : 100;
        if (isPartitioned(host) || areCommandsLost(host) || draw < 3) {
            return new NoResponse("lost");
        }
        if (draw < 8) {
            if (command instanceof HostCommand.Start && random.nextInt(4) == 0) {
                replaceLeaderBeforeItsStop(host);
            }
            FakeHost addressed = hosts[host];
            time.schedule(Duration.ofMillis(200 + random.nextInt(9_000)), () -> handleLate(host, addressed, command));
            return new NoResponse("late");
        }
        HostResponse response = handleOnHost(host, command);
        return draw < 12 ? new NoResponse("response lost") : response;
    }

    private void handleLate(int host, FakeHost addressed, HostCommand command) {
        if (cutOffAfterRebirths && hosts[host] != addressed) {
            return;
        }
        commandIsLate = true;
        handleOnHost(host, command);
        commandIsLate = false;
    }

    /** Replaces the leader while a partition keeps it from stopping the run of a delayed start command. */
    private void replaceLeaderBeforeItsStop(int host) {
        partitionedUntilNanos[host] = time.nanoTime() + Duration.ofMillis(300).toNanos();
        time.schedule(Duration.ofMillis(50), this::replaceLeader);
    }

    private static int hostIndex(HostCommand command) {
        return command.host().address().charAt("10.0.0.".length()) - '0';
    }

    private HostResponse handleOnHost(int host, HostCommand command) {
        boolean sameIncarnation = hosts[host].incarnation().equals(command.host());
        return sameIncarnation ? hosts[host].handle(command) : new OtherIncarnation();
    }

    private HostCommand injectFault(HostCommand command) {
        return switch (fault) {
            case SAME_TOKEN ->
                switch (command) {
                    case HostCommand.Start start ->
                        new HostCommand.Start(
                                1, start.run(), start.taskSpecification(), start.leaseExpiryMillis(), start.ticket());
                    case HostCommand.Stop stop -> new HostCommand.Stop(stop.host(), 1, stop.run());
                    case HostCommand.Poll poll ->
                        new HostCommand.Poll(
                                poll.host(),
                                1,
                                poll.leaseExpiryMillis(),
                                poll.acknowledgedThrough(),
                                poll.maxWaitMillis());
                    case HostCommand.Throttle throttle -> throttle;
                };
            case EARLY_ACKNOWLEDGEMENT ->
                command instanceof HostCommand.Poll poll
                        ? new HostCommand.Poll(
                                poll.host(),
                                poll.token(),
                                poll.leaseExpiryMillis(),
                                Long.MAX_VALUE,
                                poll.maxWaitMillis())
                        : command;
            default -> command;
        };
    }

    private HostResponse injectFault(HostCommand command, HostResponse response) {
        boolean noResponse = response instanceof NoResponse;
        return switch (fault) {
            case NO_RESPONSE_AS_REJECTION ->
                noResponse && command instanceof HostCommand.Start ? new Rejected(RejectionReason.NO_ROOM) : response;
            case NO_RESPONSE_AS_STOPPED ->
                noResponse && command instanceof HostCommand.Stop
                        ? new Accepted(hosts[hostIndex(command)].clockMillis())
                        : response;
            default -> response;
        };
    }

    private final class ControlMember {
        private final WorkflowStateMachine stateMachine = WorkflowStateMachine.create();
        private final SharedLog.Member member = log.join(stateMachine);
        private final WorkflowLoop loop =
                WorkflowLoop.start(member, stateMachine, time, TaskProtocolSimulation.this::send, timings);
    }
}
