package org.nettlering.control.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.queue.PoolSettings;
import org.nettlering.domain.queue.QueueConfiguration;
import org.nettlering.domain.queue.QueueSettings;
import org.nettlering.domain.queue.QueueTerms;
import org.nettlering.domain.queue.RequestLimits;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.JobPhase;
import org.nettlering.domain.workflow.PlacementConstraints;
import org.nettlering.domain.workflow.Recurrence;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.StepServiceLevel;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.host.HostTimings;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.transport.ControlGateway;
import org.nettlering.wire.workflow.JobResponse;
import org.nettlering.wire.workflow.WorkflowClient;

/** The whole path over hosts in memory: submit, start, end, completed; cancel; a change of leader; configurations. */
class WorkflowPathTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private static final HostTimings LIMITS =
            new HostTimings(Duration.ofSeconds(5), Duration.ofSeconds(6), Duration.ofMillis(200));

    private final ManualTime time = ManualTime.startingAt(Instant.parse("2026-01-01T00:00:00Z"));
    private final SharedLog log = new SharedLog();
    private final List<RunId> started = new ArrayList<>();
    private final FakeHost host = new FakeHost("h1", "10.0.0.1:80", time, new StartWatch());
    private final ControlNode first = new ControlNode();
    private final ControlNode second = new ControlNode();

    private ControlNode leader = first;

    @BeforeEach
    void configure() {
        leader.client
                .replaceQueues(configuration(7), TIMEOUT)
                .toCompletableFuture()
                .join();
    }

    @Test
    void aJobIsAcceptedRunStepByStepAndCompleted() {
        reportHost();
        assertThat(submit("/q/1", step(2, List.of()), step(1, List.of(0)))).isEqualTo(new JobResponse.Done());
        pass(300);
        assertThat(phase("/q/1")).isEqualTo(JobPhase.RUNNING);
        assertThat(host.runningCount()).isEqualTo(2);
        finishAll(TerminalStatus.DONE);
        pass(300);
        assertThat(host.runningCount()).isEqualTo(1);
        finishAll(TerminalStatus.DONE);
        pass(300);
        assertThat(phase("/q/1")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void aTaskThatFailsTooOftenFailsItsJobAndStopsTheRest() {
        reportHost();
        submit("/q/1", step(1, List.of()));
        pass(300);
        finishAll(TerminalStatus.FAILED);
        pass(300);
        assertThat(phase("/q/1")).isEqualTo(JobPhase.RUNNING);
        finishAll(TerminalStatus.FAILED);
        pass(300);
        assertThat(phase("/q/1")).isEqualTo(JobPhase.FAILED);
        assertThat(host.runningCount()).isZero();
    }

    @Test
    void aCancelledJobIsStoppedOnItsHost() {
        reportHost();
        submit("/q/1", step(2, List.of(), StepTrait.LONG_RUNNING));
        pass(300);
        assertThat(host.runningCount()).isEqualTo(2);
        assertThat(answer(leader.client.cancel("site.example", "/q/1", TIMEOUT)))
                .isEqualTo(new JobResponse.Done());
        pass(300);
        assertThat(host.runningCount()).isZero();
        assertThat(phase("/q/1")).isEqualTo(JobPhase.CANCELLED);
    }

    @Test
    void aNewLeaderTakesOverWhatRunsAndStartsNothingTwice() {
        reportHost();
        submit("/q/1", step(3, List.of()));
        pass(300);
        second.lead();
        reportHost();
        pass(500);
        assertThat(host.runningCount()).isEqualTo(3);
        assertThat(started).hasSize(3);
        finishAll(TerminalStatus.DONE);
        pass(300);
        assertThat(phase("/q/1")).isEqualTo(JobPhase.COMPLETED);
        assertThat(started).hasSize(3);
    }

    @Test
    void anEndThatTheOldLeaderDidNotLogIsTakenByTheNewOne() {
        reportHost();
        submit("/q/1", step(1, List.of()));
        pass(300);
        second.lead();
        finishAll(TerminalStatus.DONE);
        pass(500);
        assertThat(phase("/q/1")).isEqualTo(JobPhase.COMPLETED);
        assertThat(started).hasSize(1);
    }

    @Test
    void theRunsOfACrashedHostStartAgainOnAnother() {
        reportHost();
        submit("/q/1", step(1, List.of()));
        pass(300);
        host.crash();
        FakeHost other = new FakeHost("h2", "10.0.0.2:80", time, new StartWatch());
        hosts.add(other);
        passReporting(12_000, other);
        assertThat(other.runningCount()).isEqualTo(1);
        assertThat(started.getLast().number()).isEqualTo(2);
    }

    @Test
    void aDrainingHostGetsNothingMore() {
        reportHost();
        leader.client
                .sendHeartbeat(host.report(true), TIMEOUT)
                .toCompletableFuture()
                .join();
        submit("/q/1", step(1, List.of()));
        pass(1_000);
        assertThat(started).isEmpty();
        assertThat(answer(leader.client.show("site.example", "/q/", TIMEOUT))).isEqualTo(new JobResponse.Pending(1));
    }

    @Test
    void anUnknownQueueAndAnUnknownJobAreToldApart() {
        assertThat(answer(leader.client.show("site.example", "/none/1", TIMEOUT)))
                .isEqualTo(new JobResponse.NoQueue());
        assertThat(answer(leader.client.show("site.example", "/q/1", TIMEOUT))).isEqualTo(new JobResponse.NoJob());
        assertThat(answer(leader.client.cancel("site.example", "/q/1", TIMEOUT)))
                .isEqualTo(new JobResponse.NoJob());
    }

    @Test
    void theHighestVersionOfTheQueuesStaysInForce() {
        leader.client
                .replaceQueues(configuration(5), TIMEOUT)
                .toCompletableFuture()
                .join();
        assertThat(version()).isEqualTo(7);
        leader.client
                .replaceQueues(configuration(9), TIMEOUT)
                .toCompletableFuture()
                .join();
        assertThat(version()).isEqualTo(9);
        second.lead();
        assertThat(version()).isEqualTo(9);
    }

    @Test
    void anOccurrenceOfATimedJobStartsWhenItIsDue() {
        reportHost();
        long due = time.millis() + 2_000;
        JobDefinition timed = new JobDefinition("work", List.of(step(1, List.of())), new Recurrence(1, due, 1_000));
        answer(leader.client.submit("site.example", "/q/1", timed, TIMEOUT));
        pass(1_900);
        assertThat(started).isEmpty();
        pass(400);
        assertThat(started).hasSize(1);
    }

    private long version() {
        return leader.client
                .readQueues(TIMEOUT)
                .toCompletableFuture()
                .join()
                .orElseThrow()
                .version();
    }

    private static QueueConfiguration configuration(long version) {
        QueueTerms terms = new QueueTerms(0, 2, 1.5, 250, false);
        return QueueConfiguration.of(
                version,
                List.of(new QueueSettings("q", "site.example", "/q/", "pool", 3_000, terms)),
                List.of(new PoolSettings("pool", false, false)),
                RequestLimits.DEFAULT,
                "{\"version\":" + version + "}");
    }

    private static StepSpecification step(int count, List<Integer> dependsOn, StepTrait... traits) {
        return new StepSpecification(
                count,
                Resources.of(1_000, 100, 0),
                1_000,
                dependsOn,
                Set.of(traits),
                PlacementConstraints.NONE,
                StepServiceLevel.UNSPECIFIED);
    }

    private JobResponse submit(String path, StepSpecification... steps) {
        JobDefinition definition = new JobDefinition("work", List.of(steps), Recurrence.ONCE);
        return answer(leader.client.submit("site.example", path, definition, TIMEOUT));
    }

    private JobPhase phase(String path) {
        JobResponse answer = answer(leader.client.show("site.example", path, TIMEOUT));
        assertThat(answer).isInstanceOf(JobResponse.Phase.class);
        return ((JobResponse.Phase) answer).phase();
    }

    private static JobResponse answer(CompletionStage<JobResponse> stage) {
        return stage.toCompletableFuture().join();
    }

    private final List<FakeHost> hosts = new ArrayList<>(List.of(host));

    private void reportHost() {
        leader.client
                .sendHeartbeat(host.report(false), TIMEOUT)
                .toCompletableFuture()
                .join();
        pass(200);
    }

    private void finishAll(TerminalStatus how) {
        hosts.forEach(each -> each.tick(how, 0));
    }

    private void pass(long millis) {
        for (long passed = 0; passed < millis; passed += 10) {
            time.advance(Duration.ofMillis(10));
        }
    }

    private void passReporting(long millis, FakeHost reporting) {
        for (long passed = 0; passed < millis; passed += 1_000) {
            leader.client
                    .sendHeartbeat(reporting.report(false), TIMEOUT)
                    .toCompletableFuture()
                    .join();
            pass(1_000);
        }
    }

    /** One control process without the network. */
    private final class ControlNode {
        private final WorkflowStateMachine part = WorkflowStateMachine.create();
        private final SharedLog.Member member = log.join(part);
        private final WorkflowLoop loop = WorkflowLoop.start(
                member,
                part,
                time,
                order -> CompletableFuture.completedFuture(hosts.stream()
                        .filter(each -> each.address().equals(order.host()))
                        .findFirst()
                        .orElseThrow()
                        .carryOut(order)),
                LIMITS);
        private final WorkflowClient client =
                WorkflowClient.of(new DirectGateway(WorkflowService.of(member, part, loop, time)));

        void lead() {
            log.elect(member);
            leader = this;
        }
    }

    /** Calls a service in this process. */
    private record DirectGateway(WorkflowService service) implements ControlGateway {
        @Override
        public CompletionStage<Frame> callLeader(Frame request, boolean repeatable, Duration timeout) {
            return service.handle(request);
        }

        @Override
        public List<CompletionStage<Frame>> callEveryMember(Frame request, Duration timeout) {
            return List.of(service.handle(request));
        }
    }

    private final class StartWatch implements FakeHost.Watch {
        @Override
        public void started(FakeHost on, RunId run) {
            started.add(run);
        }

        @Override
        public void ended(FakeHost on, RunId run, TerminalStatus how) {}

        @Override
        public void noted(FakeHost on, RunId run, TerminalStatus how, boolean leaseHeld) {}
    }
}
