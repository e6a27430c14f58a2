package org.nettlering.benchmarks.leader;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import org.HdrHistogram.Histogram;
import org.nettlering.control.workflow.WorkflowLoop;
import org.nettlering.control.workflow.WorkflowService;
import org.nettlering.control.workflow.WorkflowStateMachine;
import org.nettlering.domain.queue.PoolSettings;
import org.nettlering.domain.queue.QueueConfiguration;
import org.nettlering.domain.queue.QueueSettings;
import org.nettlering.domain.queue.QueueTerms;
import org.nettlering.domain.queue.RequestLimits;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.JobTerms;
import org.nettlering.domain.workflow.StepProgress;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostResponse;
import org.nettlering.domain.workflow.host.HostTimings;
import org.nettlering.wire.codec.WorkflowCommandCodec;
import org.nettlering.wire.proto.CommandProto.SiteCommand;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.transport.ControlGateway;
import org.nettlering.wire.workflow.WorkflowClient;

/**
 * One leader over hosts and a log in memory, under one load, in simulated time. Not thread-safe: all of it runs on one
 * thread.
 */
final class LeaderRun {
    private static final String AUTHORITY = "site.example";
    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(1_100);
    private static final Duration WARM_UP = Duration.ofSeconds(8);
    private static final Duration MEASURED = Duration.ofSeconds(10);
    private static final Duration STEP = Duration.ofMillis(5);
    private static final int STUCK_TASKS_PER_JOB = 20;
    private static final int NANOS_PER_MILLI = 1_000_000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final HostTimings LIMITS =
            new HostTimings(Duration.ofSeconds(5), Duration.ofSeconds(6), Duration.ofMillis(200));
    private static final QueueTerms TERMS = new QueueTerms(2, 4, 2.0, 1_000, false);
    private static final QueueTerms URGENT = new QueueTerms(0, 2, 1.5, 250, false);

    private final Load load;
    private final StageClock clock = new StageClock();
    private final ManualTime time = ManualTime.startingAt(Instant.parse("2026-01-01T00:00:00Z"));
    private final WorkflowStateMachine part = WorkflowStateMachine.create();
    private final WorkModel work = new WorkModel(clock);
    private final Map<String, MemoryHost> hosts = new HashMap<>();
    private final WorkflowClient client;
    private final WorkflowLoop loop;
    private final Map<String, Long> acceptedNanos = new HashMap<>();
    private final Histogram delays = new Histogram(3);
    private long starts;
    private int submitted;

    private LeaderRun(Load load) {
        this.load = load;
        MemoryLog log = new MemoryLog(time, part, clock);
        MeteredTime metered = new MeteredTime(time, clock);
        loop = WorkflowLoop.startTimed(log, part, metered, this::send, LIMITS, clock);
        client = WorkflowClient.of(new MeteredGateway(WorkflowService.of(log, part, loop, metered), clock));
    }

    /** Runs a load and returns what it cost. */
    static LeaderCost measure(Load load) {
        LeaderRun run = new LeaderRun(load);
        run.prepare();
        run.pass(WARM_UP);
        run.clock.reset();
        run.delays.reset();
        run.starts = 0;
        run.pass(MEASURED);
        run.loop.close();
        return run.cost();
    }

    private void prepare() {
        client.replaceQueues(configuration(), TIMEOUT);
        time.advance(Duration.ofMillis(10));
        for (int number = 0; number < load.ended(); number++) {
            endedJob("ended-" + number);
        }
        for (int number = 0; number < load.hosts(); number++) {
            MemoryHost host = new MemoryHost(number, time, work);
            hosts.put("host-" + number, host);
            time.schedule(REPORT_INTERVAL.multipliedBy(number).dividedBy(load.hosts()), () -> report(host));
        }
        time.advance(REPORT_INTERVAL.plus(REPORT_INTERVAL));
        for (int number = 0; number < load.watches(); number++) {
            submit("/watch/", work.watch(nextId()));
        }
        for (int number = 0; number < load.stuckTasks() / STUCK_TASKS_PER_JOB; number++) {
            submit("/review/", work.tooLarge(nextId()));
        }
        every(load.reviewsPerSecond(), () -> submit("/review/", work.review(nextId())));
        every(load.dunningsPerSecond(), () -> submit("/dunning/", work.dunning(nextId())));
    }

    /** Puts a job that has ended into the state. */
    private void endedJob(String jobId) {
        JobTerms terms = new JobTerms("review", WorkModel.POOL, TERMS);
        apply(new WorkflowCommand.SubmitJob(jobId, terms, work.review(jobId), time.millis()));
        apply(new WorkflowCommand.CancelJob(jobId));
    }

    private void apply(WorkflowCommand command) {
        part.apply(SiteCommand.newBuilder()
                .setWorkflow(WorkflowCommandCodec.encode(command))
                .build());
    }

    private void report(MemoryHost host) {
        client.sendHeartbeat(host.report(), TIMEOUT);
        time.schedule(REPORT_INTERVAL, () -> report(host));
    }

    private void every(double perSecond, Runnable task) {
        time.schedule(Duration.ofNanos(Math.round(NANOS_PER_SECOND / perSecond)), () -> {
            task.run();
            every(perSecond, task);
        });
    }

    private String nextId() {
        return "job-" + submitted;
    }

    private void submit(String prefix, JobDefinition definition) {
        String jobId = nextId();
        submitted++;
        var _ = client.submit(AUTHORITY, prefix + jobId, definition, TIMEOUT)
                .thenAccept(answer -> acceptedNanos.put(jobId, time.nanoTime()));
    }

    private CompletionStage<HostResponse> send(HostCommand order) {
        clock.enter(Stage.MODEL);
        try {
            if (order instanceof HostCommand.Start start) {
                noteStart(start.run().run().task().step().jobId());
            }
            MemoryHost host = hosts.get(order.host().id());
            if (host == null) {
                throw new IllegalStateException("no host " + order.host());
            }
            return host.take(order);
        } finally {
            clock.leave();
        }
    }

    /** Counts a start; the first one of a job tells how long the job waited. */
    private void noteStart(String jobId) {
        starts++;
        Long accepted = acceptedNanos.remove(jobId);
        if (accepted != null) {
            delays.recordValue((time.nanoTime() - accepted) / NANOS_PER_MILLI);
        }
    }

    private void pass(Duration duration) {
        long end = time.nanoTime() + duration.toNanos();
        while (time.nanoTime() < end) {
            time.advance(STEP);
        }
    }

    private LeaderCost cost() {
        int running = hosts.values().stream().mapToInt(MemoryHost::runningCount).sum();
        List<Integer> waiting = new ArrayList<>();
        part.read((state, queues) -> {
            state.pendingSteps().stream().map(StepProgress::pendingCount).forEach(waiting::add);
            return state;
        });
        int waits = waiting.stream().mapToInt(Integer::intValue).sum();
        return new LeaderCost(load, clock, delays, MEASURED, starts, running, waits);
    }

    private static QueueConfiguration configuration() {
        return QueueConfiguration.of(
                1,
                List.of(queue("review", TERMS), queue("dunning", URGENT), queue("watch", URGENT)),
                List.of(new PoolSettings(WorkModel.POOL, false, false)),
                RequestLimits.DEFAULT,
                "{}");
    }

    private static QueueSettings queue(String name, QueueTerms terms) {
        return new QueueSettings(name, AUTHORITY, "/" + name + "/", WorkModel.POOL, 3_000, terms);
    }

    /** Calls the service of this process, whose time counts. */
    private record MeteredGateway(WorkflowService service, StageClock clock) implements ControlGateway {
        @Override
        public CompletionStage<Frame> callLeader(Frame request, boolean repeatable, Duration timeout) {
            clock.enter(request.getWorkflowRequest().hasSubmit() ? Stage.SUBMISSION : Stage.REPORT);
            try {
                return service.handle(request);
            } finally {
                clock.leave();
            }
        }

        @Override
        public List<CompletionStage<Frame>> callEveryMember(Frame request, Duration timeout) {
            return List.of(callLeader(request, true, timeout));
        }
    }
}
