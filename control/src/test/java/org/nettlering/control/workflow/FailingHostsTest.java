package org.nettlering.control.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
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
        for (int number = 0; number < HOSTS; number++) {
            leadership.receiveHeartbeat(heartbeat(number, 2), nowNanos);
        }
        submitLasting("lasting");
        ActiveRun lasting = commitStart().orElseThrow();
        reportAtWork(lasting);
        nowNanos += Duration.ofSeconds(4).toNanos();
        reportAtWork(lasting);
        failRun(lasting, HOSTS + FAILING_JOBS);
        assertThat(commitStart()).isPresent();
        assertThat(leadership.isBackingOff(lasting.host().id(), nowNanos)).isFalse();
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

    /** Commits batches until one holds a start: a termination is committed before the start that replaces the run. */
    private Optional<ActiveRun> commitStart() {
        Optional<ActiveRun> started = Optional.empty();
        for (int batches = 0; batches < MAX_BATCHES && started.isEmpty(); batches++) {
            List<WorkflowCommand> batch = leadership.nextBatch(state, nowNanos, 0);
            batch.forEach(state::apply);
            leadership.batchCommitted(state, batch, nowNanos);
            started = batch.stream()
                    .filter(StartRun.class::isInstance)
                    .map(start -> ((StartRun) start).run())
                    .findFirst();
        }
        return started;
    }

    /** Lets the host report that the run failed; sequence numbers rise on each host. */
    private void failRun(ActiveRun run, long sequence) {
        HostCommand poll = new HostCommand.Poll(run.host(), 1, 0, 0, 0);
        HostResponse failure = new HostResponse.PollResult(
                2_000 + sequence,
                List.of(),
                List.of(new ReportedTermination(sequence, run.run(), TerminalStatus.FAILED, "")));
        leadership.dueCommands(nowNanos);
        leadership.handleResponse(state, poll, nowNanos, failure, nowNanos);
    }
}
