package org.nettlering.control.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.queue.QueueTerms;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.HostIncarnation;
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
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostResponse;
import org.nettlering.domain.workflow.host.HostResponse.ReportedRun;
import org.nettlering.domain.workflow.host.HostResponse.ReportedTermination;

/** Guards against MIXED: a job whose start was committed, but never carried out by a host, did not count as pending. */
class JobBeginningsTest {
    private static final HostIncarnation HOST = new HostIncarnation("h1", "10.0.0.1:80");

    private static final HostResponse.NoResponse NO_RESPONSE = new HostResponse.NoResponse("dark");

    private final WorkflowState state = WorkflowState.empty();

    private JobBeginnings beginnings = new JobBeginnings();

    @Test
    void jobIsPendingUntilAHostAcceptsTheStart() {
        submit("a", Recurrence.ONCE);
        assertThat(pending()).isEqualTo(1);
        commitStart(run("a", 0, 1));
        assertThat(pending()).isEqualTo(1);
        assertThat(phase("a")).isEqualTo(JobPhase.QUEUED);
        respond(start(run("a", 0, 1)), new HostResponse.Accepted(1_000));
        assertThat(pending()).isZero();
        assertThat(phase("a")).isEqualTo(JobPhase.RUNNING);
    }

    @Test
    void jobWhoseStartsAreRefusedUnansweredOrNotSentStaysPendingAndIsCountedOnce() {
        submit("a", Recurrence.ONCE);
        for (int number = 1; number <= 3; number++) {
            commitStart(run("a", 0, number));
            respond(start(run("a", 0, number)), NO_RESPONSE);
            respond(start(run("a", 0, number)), new HostResponse.Rejected(HostResponse.RejectionReason.NO_ROOM));
            respond(start(run("a", 0, number)), new HostResponse.NotSent("dark"));
            end(run("a", 0, number), TerminalStatus.NOT_BEGUN);
            assertThat(pending()).isEqualTo(1);
        }
        commitStart(run("a", 0, 4));
        respond(start(run("a", 0, 4)), new HostResponse.Accepted(1_000));
        assertThat(pending()).isZero();
    }

    @Test
    void jobOfAHostThatIsLostWithoutAResponseIsPendingAlsoBeforeItsLeaseIsOver() {
        submit("a", Recurrence.ONCE);
        commitStart(run("a", 0, 1));
        respond(start(run("a", 0, 1)), NO_RESPONSE);
        assertThat(pending()).isEqualTo(1);
        end(run("a", 0, 1), TerminalStatus.HOST_LOST);
        assertThat(pending()).isEqualTo(1);
    }

    @Test
    void aListedRunOrEndShowsThatTheJobHasBegunAlthoughTheStartWasNotAnswered() {
        submit("a", Recurrence.ONCE);
        submit("b", Recurrence.ONCE);
        commitStart(run("a", 0, 1));
        commitStart(run("b", 0, 1));
        respond(poll(), list(List.of(running(run("a", 0, 1))), List.of()));
        assertThat(pending()).isEqualTo(1);
        respond(
                poll(),
                list(List.of(), List.of(new ReportedTermination(1, run("b", 0, 1), TerminalStatus.FAILED, ""))));
        assertThat(pending()).isZero();
    }

    @Test
    void jobThatBeganAndWhoseHostWasLostIsNotPendingAgain() {
        submit("a", Recurrence.ONCE);
        commitStart(run("a", 0, 1));
        respond(start(run("a", 0, 1)), new HostResponse.Accepted(1_000));
        end(run("a", 0, 1), TerminalStatus.HOST_LOST);
        commitStart(run("a", 0, 2));
        commitStart(run("a", 1, 1));
        assertThat(pending()).isZero();
        assertThat(phase("a")).isEqualTo(JobPhase.RUNNING);
    }

    @Test
    void oneTaskThatBeganIsEnough() {
        submit("a", Recurrence.ONCE);
        commitStart(run("a", 0, 1));
        commitStart(run("a", 1, 1));
        respond(start(run("a", 1, 1)), new HostResponse.Accepted(1_000));
        respond(start(run("a", 0, 1)), NO_RESPONSE);
        assertThat(pending()).isZero();
    }

    @Test
    void cancelledJobsPeriodicJobsAndThoseOfOtherQueuesAreNotCounted() {
        submit("a", Recurrence.ONCE);
        submit("b", new Recurrence(2, 1_000, 1_000));
        state.apply(new WorkflowCommand.StartOccurrence("b", 0));
        commitStart(run("a", 0, 1));
        commitStart(run("b", 0, 1));
        assertThat(beginnings.pending(state, "other")).isZero();
        assertThat(pending()).isEqualTo(1);
        state.apply(new WorkflowCommand.CancelJob("a"));
        assertThat(pending()).isZero();
        beginnings.discardFinished(state);
        assertThat(pending()).isZero();
    }

    @Test
    void theResponsesToStopsAndThrottlesShowNothing() {
        submit("a", Recurrence.ONCE);
        commitStart(run("a", 0, 1));
        respond(new HostCommand.Stop(HOST, 1, run("a", 0, 1)), new HostResponse.Accepted(1_000));
        respond(new HostCommand.Throttle(HOST, 1, run("a", 0, 1), 50), new HostResponse.Accepted(1_000));
        assertThat(pending()).isEqualTo(1);
    }

    @Test
    void newLeaderCountsWhatNoHostHasShownAndBelievesTheFirstList() {
        submit("a", Recurrence.ONCE);
        submit("b", Recurrence.ONCE);
        commitStart(run("a", 0, 1));
        commitStart(run("b", 0, 1));
        end(run("b", 0, 1), TerminalStatus.NOT_BEGUN);
        takeOver();
        assertThat(pending()).isEqualTo(2);
        assertThat(phase("a")).as("its caller may have seen it running").isEqualTo(JobPhase.RUNNING);
        respond(poll(), list(List.of(running(run("a", 0, 1))), List.of()));
        assertThat(pending()).isEqualTo(1);
    }

    @Test
    void newLeaderKnowsByTheLogWhichJobsHaveBegun() {
        for (TerminalStatus status : List.of(
                TerminalStatus.DONE,
                TerminalStatus.FAILED,
                TerminalStatus.STOPPED,
                TerminalStatus.LAPSED,
                TerminalStatus.CRASH_SUSPECT)) {
            String job = "job" + status;
            submit(job, Recurrence.ONCE);
            commitStart(run(job, 0, 1));
            end(run(job, 0, 1), status);
        }
        takeOver();
        assertThat(pending()).isZero();
    }

    @Test
    void newLeaderDoesNotTakeTheLossOfAHostForProofThatAJobHasBegun() {
        submit("a", Recurrence.ONCE);
        commitStart(run("a", 0, 1));
        end(run("a", 0, 1), TerminalStatus.HOST_LOST);
        submit("b", Recurrence.ONCE);
        commitStart(run("b", 0, 1));
        end(run("b", 0, 1), TerminalStatus.CRASH_UNCONFIRMED);
        takeOver();
        assertThat(pending()).isEqualTo(2);
        commitStart(run("a", 0, 2));
        respond(start(run("a", 0, 2)), new HostResponse.Accepted(1_000));
        assertThat(pending()).isEqualTo(1);
    }

    @Test
    void theNumbersOfAGangProveNothing() {
        submit("a", Recurrence.ONCE, Set.of(StepTrait.GANG));
        commitStart(run("a", 0, 2));
        end(run("a", 0, 2), TerminalStatus.NOT_BEGUN);
        takeOver();
        assertThat(pending()).isEqualTo(1);
    }

    @Test
    void memberThatIsRestoredFromASnapshotCountsAsBefore() {
        submit("a", Recurrence.ONCE);
        submit("b", Recurrence.ONCE);
        commitStart(run("a", 0, 1));
        commitStart(run("b", 0, 1));
        end(run("b", 0, 1), TerminalStatus.STOPPED);
        WorkflowState restored = WorkflowState.from(state.snapshot());
        JobBeginnings next = new JobBeginnings();
        next.takeOver(restored);
        assertThat(next.pending(restored, "q")).isEqualTo(1);
    }

    @Test
    void aJobIsReturnedAsBegunOnceAndNotIfAnEarlierLeaderMayHaveSeenIt() {
        submit("a", Recurrence.ONCE);
        submit("b", Recurrence.ONCE);
        commitStart(run("b", 0, 1));
        takeOver();
        commitStart(run("a", 0, 1));
        HostResponse.PollResult both = list(List.of(running(run("a", 0, 1)), running(run("b", 0, 1))), List.of());
        assertThat(beginnings.receive(state, poll(), both))
                .singleElement()
                .satisfies(job -> assertThat(job.id()).isEqualTo("a"));
        assertThat(beginnings.receive(state, poll(), both)).isEmpty();
    }

    private int pending() {
        return beginnings.pending(state, "q");
    }

    private JobPhase phase(String jobId) {
        return beginnings.phase(state.job(jobId).orElseThrow());
    }

    private void takeOver() {
        beginnings = new JobBeginnings();
        beginnings.takeOver(state);
    }

    private void submit(String jobId, Recurrence recurrence) {
        submit(jobId, recurrence, Set.of());
    }

    private void submit(String jobId, Recurrence recurrence, Set<StepTrait> traits) {
        StepSpecification step = new StepSpecification(
                2,
                Resources.of(1_000, 100, 0),
                1_000,
                List.of(),
                traits,
                PlacementConstraints.NONE,
                StepServiceLevel.UNSPECIFIED);
        JobTerms terms = new JobTerms("q", "pool", new QueueTerms(0, 3, 1.5, 250, false));
        state.apply(
                new WorkflowCommand.SubmitJob(jobId, terms, new JobDefinition("work", List.of(step), recurrence), 0));
    }

    private void commitStart(RunId run) {
        state.apply(new StartRun(new ActiveRun(run, HOST, "")));
        beginnings.startCommitted(state.job(run.task().jobId()).orElseThrow());
    }

    private void end(RunId run, TerminalStatus status) {
        state.apply(new RecordTermination(run, status, ""));
    }

    private void respond(HostCommand command, HostResponse response) {
        beginnings.receive(state, command, response);
    }

    private static RunId run(String jobId, int index, int number) {
        return new RunId(TaskId.of(jobId, 0, 0, index), number);
    }

    private static HostCommand.Start start(RunId run) {
        return new HostCommand.Start(1, new ActiveRun(run, HOST, ""), "work", 0, "");
    }

    private static HostCommand.Poll poll() {
        return new HostCommand.Poll(HOST, 1, 0, 0, 0);
    }

    private static ReportedRun running(RunId run) {
        return new ReportedRun(run, "", 0, 0);
    }

    private static HostResponse.PollResult list(List<ReportedRun> running, List<ReportedTermination> ended) {
        return new HostResponse.PollResult(1_000, new ArrayList<>(running), ended);
    }
}
