package org.nettlering.control.workflow;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.nettlering.domain.queue.QueueTerms;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.JobPhase;
import org.nettlering.domain.workflow.JobTerms;
import org.nettlering.domain.workflow.PlacementConstraints;
import org.nettlering.domain.workflow.Recurrence;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.StepServiceLevel;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.TaskId;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostResponse;
import org.nettlering.domain.workflow.host.HostTimings;
import org.nettlering.wire.codec.WorkflowCommandCodec;
import org.nettlering.wire.proto.CommandProto.SiteCommand;

/** Control members and hosts in memory; hosts crash at command, or when they start a task of a deadly job. */
final class CrashingHostsSite implements FakeHost.Listener {
    private static final int MEMBERS = 3;
    private static final int STEP_MILLIS = 10;
    private static final int HEARTBEAT_INTERVAL_MILLIS = 1_500;
    private static final int RUN_MILLIS = 800;
    private static final Duration TIME_TO_CRASH = Duration.ofMillis(10);
    private static final HostTimings TIMINGS =
            new HostTimings(Duration.ofSeconds(5), Duration.ofSeconds(6), Duration.ofMillis(200));

    final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final SharedLog log = new SharedLog();
    private final List<ControlMember> members = new ArrayList<>();
    private final FakeHost[] hosts;
    private final Set<Integer> cutOffHosts = new HashSet<>();
    private final Set<String> deadlyJobs = new HashSet<>();
    private final Set<String> longRunningJobs = new HashSet<>();
    private final Map<TaskId, Integer> startCounts = new HashMap<>();
    private final Map<RunId, Long> startNanos = new HashMap<>();
    private final Set<RunId> activeRuns = new HashSet<>();

    /** How many starts of a job still find a host that goes dark just before they arrive, by job. */
    private final Map<String, Integer> startsToLose = new HashMap<>();

    /** Whether a host crashes before it has answered the start of a deadly task. */
    boolean crashesBeforeAnswers;

    /** How long a host that crashed stays down. */
    Duration downtime = Duration.ofSeconds(3);

    /** Whether hosts that crashed start again under the id that they had. */
    boolean idsKept;

    /** The starts of tasks that were running elsewhere at that moment. */
    final List<RunId> simultaneousStarts = new ArrayList<>();

    /** Whether the leader is replaced at each crash. */
    boolean leaderReplacedAtCrashes;

    private int leaderIndex;
    private int incarnationCount;
    private long elapsedMillis;

    CrashingHostsSite(int hostCount) {
        hosts = new FakeHost[hostCount];
        for (int host = 0; host < hostCount; host++) {
            hosts[host] = newIncarnation(host);
        }
        for (int member = 0; member < MEMBERS; member++) {
            members.add(new ControlMember());
        }
        log.elect(members.get(leaderIndex).member);
        advance(HEARTBEAT_INTERVAL_MILLIS);
    }

    private FakeHost newIncarnation(int host) {
        incarnationCount++;
        return new FakeHost("h" + host + "-" + incarnationCount, "10.0.0." + host + ":80", time, this);
    }

    void submit(String id, int tasks) {
        submit(id, tasks, Set.of());
    }

    void submitDeadly(String id, int tasks) {
        deadlyJobs.add(id);
        submit(id, tasks, Set.of());
    }

    void submitLongRunning(String id) {
        longRunningJobs.add(id);
        submit(id, 1, Set.of(StepTrait.LONG_RUNNING));
    }

    /** Submits a job of one task whose first starts each find a host that goes dark just before. */
    void submitUnlucky(String id, int lostStarts) {
        startsToLose.put(id, lostStarts);
        submit(id, 1, Set.of());
    }

    private void submit(String id, int tasks, Set<StepTrait> traits) {
        StepSpecification step = new StepSpecification(
                tasks,
                Resources.of(1_000, 100, 0),
                RUN_MILLIS,
                List.of(),
                traits,
                PlacementConstraints.NONE,
                StepServiceLevel.UNSPECIFIED);
        JobTerms terms = new JobTerms("q", "pool", new QueueTerms(0, 2, 1.5, 250, false));
        JobDefinition definition = new JobDefinition("work", List.of(step), Recurrence.ONCE);
        SiteCommand command = SiteCommand.newBuilder()
                .setWorkflow(WorkflowCommandCodec.encode(new WorkflowCommand.SubmitJob(id, terms, definition, 0)))
                .build();
        leader().member.propose(command).toCompletableFuture().join();
    }

    void advance(long millis) {
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            elapsedMillis += STEP_MILLIS;
            time.advance(Duration.ofMillis(STEP_MILLIS));
            for (int host = 0; host < hosts.length; host++) {
                advanceHost(host);
            }
        }
    }

    private void advanceHost(int host) {
        FakeHost current = hosts[host];
        current.expireLeaseIfDue();
        for (RunId run : current.runs()) {
            boolean complete = time.nanoTime() - startNanos.getOrDefault(run, 0L)
                    >= Duration.ofMillis(RUN_MILLIS).toNanos();
            if (complete && !longRunningJobs.contains(run.task().jobId())) {
                current.terminateIfRunning(run, TerminalStatus.DONE);
            }
        }
        if (current.isUp() && !cutOffHosts.contains(host) && elapsedMillis % HEARTBEAT_INTERVAL_MILLIS == 0) {
            leader().loop.update(leadership -> leadership.receiveHeartbeat(current.heartbeat(false), time.nanoTime()));
        }
    }

    /** Crashes a host, which starts again after the downtime. */
    void crash(int host) {
        hosts[host].crash();
        time.schedule(downtime, () -> hosts[host] = idsKept ? hosts[host].reborn() : newIncarnation(host));
        if (leaderReplacedAtCrashes) {
            replaceLeader();
        }
    }

    void cutOff(int host) {
        cutOffHosts.add(host);
    }

    void reconnect(int host) {
        cutOffHosts.remove(host);
    }

    void replaceLeader() {
        leaderIndex = (leaderIndex + 1) % MEMBERS;
        log.elect(leader().member);
    }

    private ControlMember leader() {
        return members.get(leaderIndex);
    }

    /** Returns the index of the host on which a task runs. */
    int hostOf(String jobId) {
        for (int host = 0; host < hosts.length; host++) {
            if (hosts[host].runs().stream().anyMatch(run -> run.task().jobId().equals(jobId))) {
                return host;
            }
        }
        throw new AssertionError("no run of " + jobId);
    }

    JobPhase phase(String jobId) {
        return leader().stateMachine
                .read((state, queues) -> state.job(jobId).orElseThrow().phase());
    }

    /** Returns how often hosts began a run of a task. */
    int starts(String jobId, int index) {
        return startCounts.getOrDefault(TaskId.of(jobId, 0, 0, index), 0);
    }

    @Override
    public void runStarted(FakeHost host, RunId run) {
        if (activeRuns.stream().anyMatch(other -> other.task().equals(run.task()))) {
            simultaneousStarts.add(run);
        }
        activeRuns.add(run);
        startCounts.merge(run.task(), 1, Integer::sum);
        startNanos.put(run, time.nanoTime());
        if (deadlyJobs.contains(run.task().jobId())) {
            time.schedule(TIME_TO_CRASH, () -> crashIfUp(host));
        }
    }

    private void crashIfUp(FakeHost host) {
        for (int index = 0; index < hosts.length; index++) {
            if (hosts[index] == host && host.isUp()) {
                crash(index);
            }
        }
    }

    @Override
    public void runTerminated(FakeHost host, RunId run, TerminalStatus status) {
        activeRuns.remove(run);
    }

    @Override
    public void terminationAcknowledged(FakeHost host, RunId run, TerminalStatus status, boolean leaseHeld) {}

    private CompletionStage<HostResponse> send(HostCommand command) {
        int host = command.host().address().charAt("10.0.0.".length()) - '0';
        FakeHost current = hosts[host];
        HostResponse response;
        if (command instanceof HostCommand.Start start && current.isUp() && losesStart(start)) {
            crash(host);
            response = new HostResponse.NoResponse("dark");
        } else if (cutOffHosts.contains(host)) {
            response = new HostResponse.NoResponse("cut off");
        } else if (!current.isUp()) {
            response = new HostResponse.NotSent("down");
        } else if (current.incarnation().equals(command.host())) {
            response = answered(command, current.handle(command));
        } else {
            response = new HostResponse.OtherIncarnation();
        }
        return CompletableFuture.completedFuture(response);
    }

    private boolean losesStart(HostCommand.Start start) {
        String jobId = start.run().run().task().jobId();
        int left = startsToLose.getOrDefault(jobId, 0);
        startsToLose.put(jobId, left - 1);
        return left > 0;
    }

    private HostResponse answered(HostCommand command, HostResponse response) {
        boolean lost = crashesBeforeAnswers
                && command instanceof HostCommand.Start start
                && deadlyJobs.contains(start.run().run().task().jobId());
        return lost ? new HostResponse.NoResponse("crashed") : response;
    }

    private final class ControlMember {
        private final WorkflowStateMachine stateMachine = WorkflowStateMachine.create();
        private final SharedLog.Member member = log.join(stateMachine);
        private final WorkflowLoop loop =
                WorkflowLoop.start(member, stateMachine, time, CrashingHostsSite.this::send, TIMINGS);
    }
}
