package org.nettlering.control.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostResponse;
import org.nettlering.domain.workflow.host.HostResponse.ReportedRun;
import org.nettlering.domain.workflow.host.HostResponse.ReportedTermination;

/** How the leader places tasks while runs fail on its hosts. */
class FailingHostsTest extends LeaderFixture {
    private static final int HOSTS = 3;

    /** The capacity of a host by that of a task. */
    private static final int TASKS_PER_HOST = 4;

    /** How long nothing starts on a host after failures in a row. */
    private static final Duration EXCLUSION = Duration.ofSeconds(4);

    /** A job of the fixture fails after two failed runs, so this many jobs fail twice on each host. */
    private static final int FAILING_JOBS = 3;

    /** A start follows a termination in the next batch. */
    private static final int MAX_BATCHES = 2;

    FailingHostsTest() {
        super(HOSTS);
    }

    @Test
    void tasksStartAlthoughJobsThatCanNeverSucceedHaveFailedOnEveryHost() {
        failTwiceOnEveryHost();
        assertThat(commitStart()).isEmpty();
        submit("sound");
        assertThat(commitStart()).isPresent();
    }

    /** Guards against a sound host that is left out for longer and longer, as the tasks that last there are never done. */
    @Test
    void aTaskThatLastsAndWasAtWorkForLongIsTheOnlyFailureOfItsHost() {
        failTwiceOnEveryHost();
        nowNanos += Duration.ofSeconds(5).toNanos();
        assertThat(commitStart()).isEmpty();
        receiveHeartbeats(2);
        submitLasting("lasting");
        ActiveRun lasting = commitStart().orElseThrow();
        reportAtWork(lasting);
        nowNanos += Duration.ofSeconds(4).toNanos();
        reportAtWork(lasting);
        failRun(lasting, HOSTS + FAILING_JOBS);
        assertThat(commitStart()).isPresent();
        assertThat(leadership.isBackingOff(lasting.host().id(), nowNanos)).isFalse();
    }

    /** Guards against a sound task that waits for as long as others fail on the only host that can take it. */
    @Test
    void aSoundTaskIsTriedBeforeThoseThatFailedOnTheOnlyHostWithRoom() {
        for (int number = 0; number < HOSTS * TASKS_PER_HOST; number++) {
            submitLasting("lasting-" + number);
        }
        List<ActiveRun> failing = commitStarts().stream()
                .filter(run -> run.host().id().equals("h0"))
                .toList();
        assertThat(failing).hasSize(TASKS_PER_HOST);
        failAll(failing, 1);
        nowNanos += EXCLUSION.toNanos();
        receiveHeartbeats(2);
        // The first period ends with its exclusion, so that all are started again.
        failAll(commitStarts(), 1 + TASKS_PER_HOST);
        nowNanos += Duration.ofSeconds(1).toNanos();
        submitLasting("sound");
        assertThat(commitStarts()).isEmpty();
        nowNanos += EXCLUSION.minusSeconds(1).toNanos();
        receiveHeartbeats(3);
        leadership.requestPlan();
        assertThat(commitStarts()).extracting(run -> run.run().task().jobId()).containsExactly("sound");
    }

    private void receiveHeartbeats(long sequence) {
        for (int number = 0; number < HOSTS; number++) {
            leadership.receiveHeartbeat(heartbeat(number, sequence), nowNanos);
        }
    }

    /** Fails runs and commits that, and that nothing starts since. */
    private void failAll(List<ActiveRun> runs, long firstSequence) {
        assertThat(runs).hasSize(TASKS_PER_HOST);
        for (int number = 0; number < TASKS_PER_HOST; number++) {
            failRun(runs.get(number), firstSequence + number);
        }
        assertThat(commitStarts()).isEmpty();
        leadership.requestPlan();
    }

    private List<ActiveRun> commitStarts() {
        List<ActiveRun> started = new ArrayList<>();
        for (int batches = 0; batches < MAX_BATCHES; batches++) {
            List<WorkflowCommand> batch = leadership.nextBatch(state, nowNanos, 0);
            batch.forEach(state::apply);
            leadership.batchCommitted(state, batch, nowNanos);
            for (WorkflowCommand command : batch) {
                if (command instanceof StartRun start) {
                    started.add(start.run());
                }
            }
        }
        return started;
    }

    private void failTwiceOnEveryHost() {
        for (int number = 0; number < FAILING_JOBS; number++) {
            submit("failing-" + number);
            failRun(commitStart().orElseThrow(), number + 1);
            failRun(commitStart().orElseThrow(), number + 2);
        }
    }

    private void reportAtWork(ActiveRun run) {
        HostCommand poll = new HostCommand.Poll(run.host(), 1, 0, 0, 0);
        HostResponse atWork = new HostResponse.PollResult(
                nowNanos / NANOS_PER_MILLI, List.of(new ReportedRun(run.run(), "", 100, 0)), List.of());
        leadership.dueCommands(nowNanos);
        leadership.handleResponse(state, poll, nowNanos, atWork, nowNanos);
    }

    /** Commits batches and returns the first start: a termination is committed before the start that replaces the run. */
    private Optional<ActiveRun> commitStart() {
        return commitStarts().stream().findFirst();
    }

    /** Lets the host report that the run failed; sequence numbers rise on each host. */
    private void failRun(ActiveRun run, long sequence) {
        HostCommand poll = new HostCommand.Poll(run.host(), 1, 0, 0, 0);
        HostResponse failure = new HostResponse.PollResult(
                2_000 + nowNanos / NANOS_PER_MILLI,
                List.of(),
                List.of(new ReportedTermination(sequence, run.run(), TerminalStatus.FAILED, "")));
        leadership.dueCommands(nowNanos);
        leadership.handleResponse(state, poll, nowNanos, failure, nowNanos);
    }
}
