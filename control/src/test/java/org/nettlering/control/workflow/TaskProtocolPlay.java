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

/** One seeded play of the task protocol; see {@link TaskProtocolCheckTest}. */
final class TaskProtocolPlay implements FakeHost.Watch {
    private static final int STEP_MILLIS = 20;
    private static final int FAULTY_STEPS = 1_500;
    private static final int QUIET_STEPS = 1_500;
    private static final int JOBS = 8;
    private static final int ATTEMPTS = 2;
    private static final int HOSTS = 3;
    private static final int MEMBERS = 3;
    private static final HostTimings LIMITS =
            new HostTimings(Duration.ofSeconds(5), Duration.ofSeconds(6), Duration.ofMillis(200));

    private final SplittableRandom random;
    private final PlantedFault fault;
    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final SharedLog log = new SharedLog();
    private final List<ControlMember> members = new ArrayList<>();
    private final FakeHost[] hosts = new FakeHost[HOSTS];
    private final long[] cutUntilNanos = new long[HOSTS];
    private final Set<RunId> alive = new HashSet<>();
    private final Set<RunId> followedByAStart = new HashSet<>();
    private final Map<TaskId, Integer> failuresNoted = new HashMap<>();
    private final Set<RunId> doneEnded = new HashSet<>();
    private final Set<TaskId> doneNoted = new HashSet<>();
    private final List<String> broken = new ArrayList<>();
    private int leader;
    private int lives;
    private boolean faulty = true;

    /** Plays a seed and returns the first promise that it broke. */
    static Optional<String> play(long seed, PlantedFault fault) {
        TaskProtocolPlay play = new TaskProtocolPlay(seed, fault);
        play.run();
        return play.broken.stream().findFirst();
    }

    private TaskProtocolPlay(long seed, PlantedFault fault) {
        random = new SplittableRandom(seed);
        this.fault = fault;
        if (fault == PlantedFault.UNLOGGED_STARTS) {
            log.replicateOnly(TaskProtocolPlay::holdsNoStart);
        }
        for (int host = 0; host < HOSTS; host++) {
            hosts[host] = bear(host);
        }
        for (int member = 0; member < MEMBERS; member++) {
            members.add(new ControlMember());
        }
    }

    private static boolean holdsNoStart(SiteCommand command) {
        WorkflowCommand decoded = WorkflowCommandCodec.decode(command.getWorkflow());
        return !(decoded instanceof WorkflowCommand.Batch batch)
                || batch.commands().stream().noneMatch(WorkflowCommand.StartRun.class::isInstance);
    }

    private FakeHost bear(int host) {
        lives++;
        return new FakeHost("h" + host + "-" + lives, "10.0.0." + host + ":80", time, this);
    }

    private void run() {
        for (int job = 0; job < JOBS; job++) {
            submit("job" + job, 1 + random.nextInt(3));
        }
        for (int step = 0; step < FAULTY_STEPS && broken.isEmpty(); step++) {
            maybeFail();
            step(step);
        }
        faulty = false;
        for (int step = 0; step < QUIET_STEPS && broken.isEmpty(); step++) {
            step(step);
        }
        if (fault == PlantedFault.NONE && broken.isEmpty()) {
            checkThatAllHaveEnded();
        }
    }

    private void step(int step) {
        time.advance(Duration.ofMillis(STEP_MILLIS));
        for (int host = 0; host < HOSTS; host++) {
            FakeHost present = hosts[host];
            present.lapse();
            for (RunId run : present.runs()) {
                maybeEnd(present, run);
            }
            if (step % 50 == host && !isCut(host)) {
                report(present);
            }
        }
    }

    private void maybeEnd(FakeHost host, RunId run) {
        int draw = random.nextInt(1_000);
        if (draw < 15) {
            host.end(run, draw < 4 ? TerminalStatus.FAILED : TerminalStatus.DONE);
        }
    }

    private void maybeFail() {
        int draw = random.nextInt(2_000);
        int host = random.nextInt(HOSTS);
        if (draw < 6) {
            hosts[host].crash();
            hosts[host] = bear(host);
        } else if (draw < 16) {
            cutUntilNanos[host] =
                    time.nanoTime() + Duration.ofMillis(random.nextInt(9_000)).toNanos();
        } else if (draw < 26) {
            replaceLeader();
        }
    }

    private void replaceLeader() {
        ControlMember old = members.get(leader);
        if (random.nextBoolean()) {
            old.member.loseTouch();
            time.schedule(Duration.ofMillis(random.nextInt(800)), old.member::noticeReplacement);
        }
        leader = (leader + 1 + random.nextInt(MEMBERS - 1)) % MEMBERS;
        members.get(leader).member.noticeReplacement();
        log.elect(members.get(leader).member);
    }

    private boolean isCut(int host) {
        return faulty && time.nanoTime() < cutUntilNanos[host];
    }

    private void report(FakeHost host) {
        ControlMember present = members.get(leader);
        present.loop.update(leadership -> leadership.receiveHeartbeat(host.report(false), time.nanoTime()));
    }

    private void submit(String id, int tasks) {
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
        SiteCommand command = SiteCommand.newBuilder()
                .setWorkflow(WorkflowCommandCodec.encode(new WorkflowCommand.SubmitJob(id, terms, definition, 0)))
                .build();
        members.get(leader).member.propose(command).toCompletableFuture().join();
    }

    private void checkThatAllHaveEnded() {
        members.get(leader).part.read((state, queues) -> {
            state.jobs().stream()
                    .filter(job -> job.phase().isOpen())
                    .forEach(job -> broken.add("job " + job.id() + " has not ended: " + job.phase()));
            return state;
        });
    }

    @Override
    public void started(FakeHost host, RunId run) {
        TaskId task = run.task();
        if (alive.stream().anyMatch(other -> other.task().equals(task))) {
            broken.add("two runs at a time: " + run + " and " + alive);
        }
        if (doneNoted.contains(task)) {
            broken.add("a start after an end as done that was noted: " + run);
        }
        if (failuresNoted.getOrDefault(task, 0) >= ATTEMPTS) {
            broken.add("a start past the attempts: " + run);
        }
        doneEnded.stream().filter(done -> done.task().equals(task)).forEach(followedByAStart::add);
        alive.add(run);
    }

    @Override
    public void ended(FakeHost host, RunId run, TerminalStatus how) {
        alive.remove(run);
        if (how == TerminalStatus.DONE) {
            doneEnded.add(run);
        }
    }

    @Override
    public void noted(FakeHost host, RunId run, TerminalStatus how, boolean leaseHeld) {
        if (how == TerminalStatus.DONE) {
            doneNoted.add(run.task());
            if (leaseHeld && followedByAStart.contains(run)) {
                broken.add("an end as done was noted after another start: " + run);
            }
        }
        if (how == TerminalStatus.FAILED && leaseHeld) {
            failuresNoted.merge(run.task(), 1, Integer::sum);
        }
    }

    private CompletionStage<HostResponse> send(HostCommand order) {
        HostResponse answer = deliver(disguise(order));
        return CompletableFuture.completedFuture(disguise(order, answer));
    }

    private HostResponse deliver(HostCommand order) {
        int host = hostOf(order);
        int draw = faulty ? random.nextInt(100) : 100;
        if (isCut(host) || draw < 3) {
            return new NoResponse("lost");
        }
        if (draw < 8) {
            if (order instanceof HostCommand.Start && random.nextInt(4) == 0) {
                loseTheLeaderBeforeItsStop(host);
            }
            time.schedule(Duration.ofMillis(200 + random.nextInt(9_000)), () -> carryOut(host, order));
            return new NoResponse("late");
        }
        HostResponse answer = carryOut(host, order);
        return draw < 12 ? new NoResponse("answer lost") : answer;
    }

    /** Replaces the leader while the host of an order that is carried out late cannot be told to leave it. */
    private void loseTheLeaderBeforeItsStop(int host) {
        cutUntilNanos[host] = time.nanoTime() + Duration.ofMillis(300).toNanos();
        time.schedule(Duration.ofMillis(50), this::replaceLeader);
    }

    private static int hostOf(HostCommand order) {
        return order.host().address().charAt("10.0.0.".length()) - '0';
    }

    private HostResponse carryOut(int host, HostCommand order) {
        boolean sameLife = hosts[host].address().equals(order.host());
        return sameLife ? hosts[host].carryOut(order) : new OtherIncarnation();
    }

    private HostCommand disguise(HostCommand order) {
        return switch (fault) {
            case SAME_TOKEN ->
                switch (order) {
                    case HostCommand.Start start ->
                        new HostCommand.Start(
                                1, start.run(), start.taskSpecification(), start.leaseExpiryMillis(), start.ticket());
                    case HostCommand.Stop stop -> new HostCommand.Stop(stop.host(), 1, stop.run());
                    case HostCommand.Poll hold ->
                        new HostCommand.Poll(
                                hold.host(),
                                1,
                                hold.leaseExpiryMillis(),
                                hold.acknowledgedThrough(),
                                hold.maxWaitMillis());
                    case HostCommand.Throttle pace -> pace;
                };
            case FORGOTTEN_EARLY ->
                order instanceof HostCommand.Poll hold
                        ? new HostCommand.Poll(
                                hold.host(),
                                hold.token(),
                                hold.leaseExpiryMillis(),
                                Long.MAX_VALUE,
                                hold.maxWaitMillis())
                        : order;
            default -> order;
        };
    }

    private HostResponse disguise(HostCommand order, HostResponse answer) {
        boolean silent = answer instanceof NoResponse;
        return switch (fault) {
            case SILENCE_IS_REFUSAL ->
                silent && order instanceof HostCommand.Start ? new Rejected(RejectionReason.NO_ROOM) : answer;
            case SILENCE_IS_A_STOP -> silent && order instanceof HostCommand.Stop ? new Accepted(0) : answer;
            default -> answer;
        };
    }

    /** A control member with its loop. */
    private final class ControlMember {
        private final WorkflowStateMachine part = WorkflowStateMachine.create();
        private final SharedLog.Member member = log.join(part);
        private final WorkflowLoop loop = WorkflowLoop.start(member, part, time, TaskProtocolPlay.this::send, LIMITS);
    }
}
