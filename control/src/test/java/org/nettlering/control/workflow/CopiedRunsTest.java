package org.nettlering.control.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.queue.QueueTerms;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.JobDefinition;
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
import org.nettlering.domain.workflow.host.HostResponse.ReportedRun;
import org.nettlering.domain.workflow.host.HostResponse.ReportedTermination;

/** A step of four small tasks on three hosts, of which one task makes hardly any progress. */
class CopiedRunsTest extends LeaderFixture {
    private static final int TASKS = 4;
    private static final int STEP_MILLIS = 100;
    private static final RunId SLOW_RUN = new RunId(TaskId.of("a", 0, 0, 0), 1);

    /** The runs that the hosts execute, by host id, with the time of their start. */
    private final Map<String, Map<RunId, Long>> runningByHost = new HashMap<>();

    private final Map<String, List<ReportedTermination>> ends = new HashMap<>();
    private final List<RunId> started = new ArrayList<>();
    private final List<RunId> stopped = new ArrayList<>();
    private long copyRunMillis = 1_000;

    CopiedRunsTest() {
        super(3);
    }

    @Test
    void stragglerIsCopiedOnAnotherHostAndStoppedOnceTheCopyIsDone() {
        submitCopyable();
        playSeconds(5);
        assertThat(started).hasSize(TASKS + 1);
        RunId copy = started.getLast();
        assertThat(copy.task()).isEqualTo(SLOW_RUN.task());
        assertThat(copy.number()).isEqualTo(2);
        assertThat(stopped).containsExactly(SLOW_RUN);
        assertThat(state.job("a").orElseThrow().phase().isOpen()).isFalse();
    }

    @Test
    void copyIsStoppedOnceTheOriginalIsDone() {
        copyRunMillis = 60_000;
        submitCopyable();
        playSeconds(3);
        assertThat(started).hasSize(TASKS + 1);
        endRun(SLOW_RUN);
        playSeconds(1);
        assertThat(stopped).containsExactly(started.getLast());
    }

    @Test
    void runsOfBestEffortTasksTeachNothingAsTheyGetWhatOthersLeave() {
        submit(StepTrait.BEST_EFFORT);
        playSeconds(3);
        assertThat(leadership.runTimes().siblingCount(SLOW_RUN.task().step())).isZero();
    }

    @Test
    void runsAtFullSpeedTeachHowLongTheirStepTakes() {
        submitCopyable();
        playSeconds(3);
        assertThat(leadership.runTimes().siblingCount(SLOW_RUN.task().step())).isPositive();
    }

    private void submitCopyable() {
        submit(StepTrait.SPECULATIVE);
    }

    private void submit(StepTrait trait) {
        StepSpecification step = new StepSpecification(
                TASKS,
                Resources.of(60, 10, 0),
                1_000,
                List.of(),
                Set.of(trait),
                PlacementConstraints.NONE,
                StepServiceLevel.UNSPECIFIED);
        JobTerms terms = new JobTerms("q", "pool", new QueueTerms(0, 2, 1.5, 250, false));
        state.apply(new WorkflowCommand.SubmitJob(
                "a", terms, new JobDefinition("work", List.of(step), Recurrence.ONCE), 0));
        leadership.requestPlan();
    }

    private void playSeconds(int seconds) {
        for (int millis = 0; millis < seconds * 1_000; millis += STEP_MILLIS) {
            nowNanos += STEP_MILLIS * NANOS_PER_MILLI;
            endDueRuns();
            leadership.requestPlan();
            leadership.markAllHostsDue();
            commit(leadership.nextBatch(state, nowNanos, nowNanos / NANOS_PER_MILLI));
            for (HostCommand command : leadership.dueCommands(nowNanos)) {
                leadership.handleResponse(state, command, nowNanos, execute(command), nowNanos);
            }
        }
    }

    private void commit(List<WorkflowCommand> batch) {
        if (!batch.isEmpty()) {
            batch.forEach(state::apply);
            leadership.batchCommitted(state, batch, nowNanos);
        }
    }

    private HostResponse execute(HostCommand command) {
        String host = command.host().id();
        Map<RunId, Long> running = runningByHost.computeIfAbsent(host, id -> new HashMap<>());
        return switch (command) {
            case HostCommand.Start start -> {
                ActiveRun run = start.run();
                running.put(run.run(), nowNanos);
                started.add(run.run());
                yield new HostResponse.Accepted(clockMillis());
            }
            case HostCommand.Stop stop -> {
                running.remove(stop.run());
                stopped.add(stop.run());
                addEnd(host, stop.run(), TerminalStatus.STOPPED);
                yield new HostResponse.Accepted(clockMillis());
            }
            case HostCommand.Poll poll -> {
                List<ReportedTermination> listed = ends.computeIfAbsent(host, id -> new ArrayList<>());
                listed.removeIf(end -> end.sequence() <= poll.acknowledgedThrough());
                List<ReportedRun> reported = running.entrySet().stream()
                        .map(run -> new ReportedRun(run.getKey(), "", progressPercent(run.getKey(), run.getValue()), 0))
                        .toList();
                yield new HostResponse.PollResult(clockMillis(), reported, List.copyOf(listed));
            }
            case HostCommand.Throttle throttle -> new HostResponse.Accepted(clockMillis());
        };
    }

    private void endDueRuns() {
        for (Map<RunId, Long> running : runningByHost.values()) {
            List.copyOf(running.entrySet()).stream()
                    .filter(run -> progressPercent(run.getKey(), run.getValue()) >= 100)
                    .forEach(run -> endRun(run.getKey()));
        }
    }

    private void endRun(RunId run) {
        runningByHost.forEach((host, running) -> {
            if (running.remove(run) != null) {
                addEnd(host, run, TerminalStatus.DONE);
            }
        });
    }

    private void addEnd(String host, RunId run, TerminalStatus status) {
        List<ReportedTermination> listed = ends.computeIfAbsent(host, id -> new ArrayList<>());
        listed.add(new ReportedTermination(nowNanos + listed.size(), run, status, ""));
    }

    private int progressPercent(RunId run, long startNanos) {
        long elapsedMillis = (nowNanos - startNanos) / NANOS_PER_MILLI;
        long totalMillis = run.equals(SLOW_RUN) ? 30_000 : run.number() == 2 ? copyRunMillis : 1_000;
        return (int) Math.min(100, elapsedMillis * 100 / totalMillis);
    }

    private long clockMillis() {
        return 1_000 + nowNanos / NANOS_PER_MILLI;
    }
}
