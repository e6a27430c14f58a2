package org.nettlering.domain.workflow.host;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.nettlering.domain.workflow.WorkflowSamples.HOST;
import static org.nettlering.domain.workflow.WorkflowSamples.run;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.host.HostResponse.Accepted;
import org.nettlering.domain.workflow.host.HostResponse.NoResponse;
import org.nettlering.domain.workflow.host.HostResponse.NotSent;
import org.nettlering.domain.workflow.host.HostResponse.PollResult;
import org.nettlering.domain.workflow.host.HostResponse.Rejected;
import org.nettlering.domain.workflow.host.HostResponse.RejectionReason;
import org.nettlering.domain.workflow.host.HostResponse.ReportedRun;
import org.nettlering.domain.workflow.host.HostResponse.ReportedTermination;

class HostSessionTest extends HostSessionFixture {
    @Test
    void hostAcceptsRunsOnlyAfterHeartbeatAndPollResponse() {
        assertThat(session.acceptsRuns(nowNanos)).isFalse();
        sendHeartbeat(false, 1);
        assertThat(session.acceptsRuns(nowNanos)).isFalse();
        respondToPoll(List.of(), List.of());
        assertThat(session.acceptsRuns(nowNanos)).isTrue();
    }

    @Test
    void drainingHostAcceptsNoRuns() {
        makeSchedulable();
        sendHeartbeat(true, 2);
        assertThat(session.acceptsRuns(nowNanos)).isFalse();
    }

    @Test
    void outOfOrderHeartbeatIsIgnored() {
        makeSchedulable();
        sendHeartbeat(true, 5);
        sendHeartbeat(false, 4);
        assertThat(session.acceptsRuns(nowNanos)).isFalse();
    }

    @Test
    void hostWithTimedOutCommandAcceptsNoRunsUntilItResponds() {
        makeSchedulable();
        respond(takeStart(), new NoResponse("timeout"));
        assertThat(session.acceptsRuns(nowNanos)).isFalse();
        advance(400);
        respondToPoll(List.of(), List.of());
        assertThat(session.acceptsRuns(nowNanos)).isTrue();
    }

    @Test
    void rejectedStartEndsRunAsNotBegun() {
        makeSchedulable();
        assertThat(respond(takeStart(), new Rejected(RejectionReason.NO_ROOM)))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.NOT_BEGUN, ""));
    }

    @Test
    void reportedTerminationIsReturnedOnceAndAcknowledgedOnlyAfterCommit() {
        makeSchedulable();
        respond(takeStart(), new Accepted(hostClockMillis));
        ReportedTermination done = new ReportedTermination(3, RUN, TerminalStatus.DONE, "");
        assertThat(respondToPoll(List.of(), List.of(done)))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.DONE, ""));
        advance(200);
        assertThat(dueCommands())
                .as("no poll before the termination is committed")
                .isEmpty();
        assertThat(session.onTerminationCommitted(RUN, TerminalStatus.DONE)).isTrue();
        assertThat(takePoll().acknowledgedThrough()).isEqualTo(3);
    }

    /**
     * Guards against lost throughput: a start that was never sent was resolved only after a stop, the stop grace period
     * and a poll.
     */
    @Test
    void unsentStartEndsRunAtOnceAndHostAcceptsNoRunsUntilItResponds() {
        makeSchedulable();
        assertThat(respond(takeStart(), new NotSent("no connection")))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.NOT_BEGUN, ""));
        assertThat(dueCommands().stream().filter(HostCommand.Stop.class::isInstance))
                .isEmpty();
        assertThat(session.acceptsRuns(nowNanos)).isFalse();
        session.onTerminationCommitted(RUN, TerminalStatus.NOT_BEGUN);
        advance(400);
        respondToPoll(List.of(), List.of());
        assertThat(session.acceptsRuns(nowNanos)).isTrue();
    }

    @Test
    void timedOutStartEndsRunOnlyAfterStopIsAcknowledgedAndLaterPollOmitsRun() {
        makeSchedulable();
        respond(takeStart(), new NoResponse("timeout"));
        HostCommand.Stop stop = takeCommand(HostCommand.Stop.class);
        assertThat(respondToPoll(List.of(), List.of()))
                .as("stop not acknowledged yet")
                .isEmpty();
        respond(stop, new Accepted(hostClockMillis));
        advance(100);
        assertThat(respondToPoll(List.of(), List.of()))
                .as("within the stop grace period")
                .isEmpty();
        advance(300);
        assertThat(respondToPoll(List.of(), List.of()))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.NOT_BEGUN, ""));
    }

    @Test
    void timedOutStartExecutedLateIsStoppedAndItsTerminationRecorded() {
        makeSchedulable();
        respond(takeStart(), new NoResponse("timeout"));
        respond(takeCommand(HostCommand.Stop.class), new Accepted(hostClockMillis));
        ReportedTermination stopped = new ReportedTermination(1, RUN, TerminalStatus.STOPPED, "half");
        advance(300);
        assertThat(respondToPoll(List.of(), List.of(stopped)))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.STOPPED, "half"));
    }

    @Test
    void inheritedRunMissingFromFirstPollEndsAsNotBegun() {
        session.trackInheritedRun(ACTIVE, false, nowNanos);
        sendHeartbeat(false, 1);
        assertThat(respondToPoll(List.of(), List.of()))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.NOT_BEGUN, ""));
    }

    @Test
    void inheritedRunReportedByFirstPollContinues() {
        session.trackInheritedRun(ACTIVE, false, nowNanos);
        sendHeartbeat(false, 1);
        assertThat(respondToPoll(List.of(new ReportedRun(RUN, "", 10, 0)), List.of()))
                .isEmpty();
        assertThat(dueCommands().stream().filter(HostCommand.Stop.class::isInstance))
                .isEmpty();
    }

    @Test
    void inheritedRunThatMayBeThrottledGetsItsSpeedSetAgain() {
        session.trackInheritedRun(ACTIVE, true, nowNanos);
        sendHeartbeat(false, 1);
        respondToPoll(List.of(new ReportedRun(RUN, "", 10, 0)), List.of());
        assertThat(session.runs().usages().getFirst().speedPercent()).isZero();
        HostCommand.Throttle throttle = takeCommand(HostCommand.Throttle.class);
        assertThat(throttle.speedPercent()).isEqualTo(100);
        respond(throttle, new Accepted(hostClockMillis));
        assertThat(session.runs().usages().getFirst().speedPercent()).isEqualTo(100);
    }

    @Test
    void runsOfUnresponsiveHostAreLostWhenLeaseExpiresOnSlowestHostClock() {
        makeSchedulable();
        respond(takeStart(), new Accepted(hostClockMillis));
        respond(takePoll(), new NoResponse("timeout"));
        advanceWithoutResponses(4_900);
        assertThat(session.inferTerminations(nowNanos)).isEmpty();
        advanceWithoutResponses(1_500);
        assertThat(session.inferTerminations(nowNanos))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.HOST_LOST, ""));
    }

    /**
     * Guards against rerunning finished work: a run counted as lost although its host was reachable and had its result.
     */
    @Test
    void runIsNotLostAtLeaseExpiryWhileHostSendsHeartbeats() {
        makeSchedulable();
        respond(takeStart(), new Accepted(hostClockMillis));
        for (long sequence = 2; sequence < 7; sequence++) {
            advanceWithoutResponses(1_500);
            sendHeartbeat(false, sequence);
        }
        assertThat(session.inferTerminations(nowNanos)).isEmpty();
        ReportedTermination done = new ReportedTermination(1, RUN, TerminalStatus.DONE, "");
        assertThat(respondToPoll(List.of(), List.of(done)))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.DONE, ""));
    }

    @Test
    void runIsEventuallyLostIfHostSendsHeartbeatsButNeverResponds() {
        makeSchedulable();
        respond(takeStart(), new Accepted(hostClockMillis));
        for (long sequence = 2; sequence < 12; sequence++) {
            advanceWithoutResponses(1_500);
            sendHeartbeat(false, sequence);
        }
        assertThat(session.inferTerminations(nowNanos))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.HOST_LOST, ""));
    }

    /** Guards against rerunning finished work: a termination was acknowledged to the host before it was committed. */
    @Test
    void terminationReportedAfterCommittedLossIsCommittedBeforeAcknowledgement() {
        makeSchedulable();
        respond(takeStart(), new Accepted(hostClockMillis));
        advanceWithoutResponses(7_000);
        assertThat(session.inferTerminations(nowNanos))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.HOST_LOST, ""));
        session.onTerminationCommitted(RUN, TerminalStatus.HOST_LOST);
        sendHeartbeat(false, 2);
        ReportedTermination done = new ReportedTermination(4, RUN, TerminalStatus.DONE, "");
        assertThat(respondToPoll(List.of(), List.of(done)))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.DONE, ""));
        advance(200);
        assertThat(dueCommands())
                .as("no poll before the termination is committed")
                .isEmpty();
        session.onTerminationCommitted(RUN, TerminalStatus.DONE);
        assertThat(takePoll().acknowledgedThrough()).isEqualTo(4);
    }

    @Test
    void terminationReportedBeforeLossIsCommittedReplacesLoss() {
        makeSchedulable();
        respond(takeStart(), new Accepted(hostClockMillis));
        advanceWithoutResponses(7_000);
        assertThat(session.inferTerminations(nowNanos))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.HOST_LOST, ""));
        ReportedTermination done = new ReportedTermination(4, RUN, TerminalStatus.DONE, "");
        assertThat(respondToPoll(List.of(), List.of(done)))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.DONE, ""));
    }

    /**
     * Guards against rerunning finished work: committing the loss acknowledged a termination that the host reported
     * meanwhile.
     */
    @Test
    void committingLossDoesNotAcknowledgeTerminationReportedMeanwhile() {
        makeSchedulable();
        respond(takeStart(), new Accepted(hostClockMillis));
        advanceWithoutResponses(7_000);
        assertThat(session.inferTerminations(nowNanos))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.HOST_LOST, ""));
        sendHeartbeat(false, 2);
        ReportedTermination done = new ReportedTermination(4, RUN, TerminalStatus.DONE, "");
        assertThat(respondToPoll(List.of(), List.of(done)))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.DONE, ""));
        session.onTerminationCommitted(RUN, TerminalStatus.HOST_LOST);
        advance(200);
        assertThat(dueCommands())
                .as("no poll before the termination is committed")
                .isEmpty();
        session.onTerminationCommitted(RUN, TerminalStatus.DONE);
        assertThat(takePoll().acknowledgedThrough()).isEqualTo(4);
    }

    @Test
    void leaseOfUnresponsiveHostIsNotRenewed() {
        makeSchedulable();
        respond(takeStart(), new Accepted(hostClockMillis));
        respond(takePoll(), new NoResponse("timeout"));
        advance(400);
        assertThat(takePoll().leaseExpiryMillis()).isZero();
    }

    /** Guards against runs that end by their lease on a host that answers every poll. */
    @Test
    void leaseIsRenewedWhileOtherCommandsGetNoResponse() {
        makeSchedulable();
        respond(takeStart(), new Accepted(hostClockMillis));
        session.runs().requestStop(RUN);
        for (int attempt = 0; attempt < 5; attempt++) {
            respond(takeCommand(HostCommand.Stop.class), new NoResponse("timeout"));
            HostCommand.Poll poll = takePoll();
            assertThat(poll.leaseExpiryMillis()).isPositive();
            respond(poll, new PollResult(hostClockMillis, List.of(new ReportedRun(RUN, "", 10, 0)), List.of()));
            advance(500);
        }
    }

    /** Guards against runs that end by their lease because a termination on the same host is committed late. */
    @Test
    void leaseIsRenewedWhileTerminationAwaitsCommit() {
        makeSchedulable();
        respond(takeStart(), new Accepted(hostClockMillis));
        RunId other = run("b", 0, 0, 1);
        session.trackNewRun(new ActiveRun(other, HOST, ""), "work", "", nowNanos);
        respond(takeCommand(HostCommand.Start.class), new Accepted(hostClockMillis));
        ReportedRun running = new ReportedRun(other, "", 10, 0);
        ReportedTermination done = new ReportedTermination(1, RUN, TerminalStatus.DONE, "");
        respondToPoll(List.of(running), List.of(done));
        for (int second = 0; second < 10; second++) {
            advance(1_000);
            HostCommand.Poll poll = takePoll();
            assertThat(poll.leaseExpiryMillis()).isGreaterThan(hostClockMillis + 4_000);
            assertThat(poll.acknowledgedThrough()).isZero();
            assertThat(respond(poll, new PollResult(hostClockMillis, List.of(running), List.of(done))))
                    .isEmpty();
        }
    }

    @Test
    void commandsAreOverdueWithoutAnOutcomeAndNotBeforeTheDeadline() {
        makeSchedulable();
        HostCommand.Start start = takeStart();
        HostCommand.Poll poll = takePoll();
        advance(HostSession.OUTCOME_DEADLINE.toMillis() - 200);
        assertThat(session.overdueCommands(nowNanos)).isEmpty();
        advance(200);
        assertThat(session.overdueCommands(nowNanos)).containsExactly(start, poll);
        respond(start, new NoResponse("no outcome"));
        respond(poll, new NoResponse("no outcome"));
        assertThat(session.overdueCommands(nowNanos)).isEmpty();
        assertThat(takeCommand(HostCommand.Stop.class).run()).isEqualTo(RUN);
        advance(400);
        assertThat(takePoll()).isNotSameAs(poll);
    }

    /** Two polls at the same time would take the places of other commands to the host. */
    @Test
    void lateOutcomeOfOverduePollDoesNotCauseAPollBesideTheOneInFlight() {
        makeSchedulable();
        respond(takeStart(), new Accepted(hostClockMillis));
        HostCommand.Poll overdue = takePoll();
        advance(HostSession.OUTCOME_DEADLINE.toMillis());
        respond(overdue, new NoResponse("no outcome"));
        advance(400);
        takePoll();
        respond(overdue, new PollResult(hostClockMillis, List.of(new ReportedRun(RUN, "", 10, 0)), List.of()));
        advance(2_000);
        assertThat(dueCommands()).noneMatch(HostCommand.Poll.class::isInstance);
    }

    /** Guards against a result that is neither recorded nor reported again. */
    @Test
    @SuppressWarnings("NullAway")
    void terminationThatCannotBeHandledIsReturnedWhenItIsReportedAgain() {
        makeSchedulable();
        respond(takeStart(), new Accepted(hostClockMillis));
        ReportedTermination malformed = new ReportedTermination(1, RUN, TerminalStatus.DONE, null);
        assertThatThrownBy(() -> respondToPoll(List.of(), List.of(malformed))).isInstanceOf(NullPointerException.class);
        advance(1_000);
        HostCommand.Poll poll = takePoll();
        assertThat(poll.acknowledgedThrough()).isZero();
        ReportedTermination done = new ReportedTermination(1, RUN, TerminalStatus.DONE, "");
        assertThat(respond(poll, new PollResult(hostClockMillis, List.of(), List.of(done))))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.DONE, ""));
    }

    @Test
    void inheritedRunsOfUnresponsiveHostAreLostOnlyAfterMaxLeaseOfEarlierLeader() {
        session.trackInheritedRun(ACTIVE, false, nowNanos);
        advanceWithoutResponses(7_500);
        assertThat(session.inferTerminations(nowNanos)).isEmpty();
        advanceWithoutResponses(1_500);
        assertThat(session.inferTerminations(nowNanos))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.HOST_LOST, ""));
    }

    /** Guards against two concurrent runs of a task: the first reading of the host's clock may be seconds old. */
    @Test
    void leaseOfEarlierLeaderIsMeasuredFromLatestClockReading() {
        session.trackInheritedRun(ACTIVE, false, nowNanos);
        advanceWithoutResponses(200);
        hostClockMillis -= 4_000;
        sendHeartbeat(false, 1);
        hostClockMillis += 4_000;
        advance(1_000);
        sendHeartbeat(false, 2);
        advanceWithoutResponses(5_900);
        assertThat(session.inferTerminations(nowNanos)).isEmpty();
        advanceWithoutResponses(3_000);
        assertThat(session.inferTerminations(nowNanos))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.HOST_LOST, ""));
    }

    @Test
    void orphanedRunIsStopped() {
        makeSchedulable();
        RunId orphan = run("b", 0, 0, 1);
        respond(takeStart(), new Accepted(hostClockMillis));
        respondToPoll(List.of(new ReportedRun(RUN, "", 0, 0), new ReportedRun(orphan, "", 0, 0)), List.of());
        assertThat(takeCommand(HostCommand.Stop.class).run()).isEqualTo(orphan);
    }

    @Test
    void timedOutStopIsSentAgain() {
        makeSchedulable();
        respond(takeStart(), new Accepted(hostClockMillis));
        session.runs().requestStop(RUN);
        respond(takeCommand(HostCommand.Stop.class), new NoResponse("timeout"));
        assertThat(dueCommands().stream().filter(HostCommand.Stop.class::isInstance))
                .isEmpty();
        advance(500);
        assertThat(takeCommand(HostCommand.Stop.class).run()).isEqualTo(RUN);
    }

    @Test
    void runStoppedBeforeItsStartIsSentEndsAsNotBegun() {
        makeSchedulable();
        session.trackNewRun(ACTIVE, "work", "", nowNanos);
        session.runs().requestStop(RUN);
        assertThat(session.inferTerminations(nowNanos))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.NOT_BEGUN, ""));
        assertThat(dueCommands().stream().filter(HostCommand.Start.class::isInstance))
                .isEmpty();
    }

    /** Found by the task protocol simulation, seed 7: an idle host never got a run again. */
    @Test
    void hostWithExpiredLeaseAcceptsNewRuns() {
        makeSchedulable();
        respond(takeStart(), new Accepted(hostClockMillis));
        respondToPoll(List.of(), List.of(new ReportedTermination(1, RUN, TerminalStatus.DONE, "")));
        session.onTerminationCommitted(RUN, TerminalStatus.DONE);
        advance(20_000);
        sendHeartbeat(false, 2);
        RunId next = run("b", 0, 0, 1);
        session.trackNewRun(new ActiveRun(next, HOST, ""), "work", "", nowNanos);
        assertThat(session.inferTerminations(nowNanos)).isEmpty();
        assertThat(takeCommand(HostCommand.Start.class).run().run()).isEqualTo(next);
    }

    @Test
    void hostThatRejectedRunAcceptsNoRunsDuringBackoff() {
        makeSchedulable();
        respond(takeStart(), new Rejected(RejectionReason.NO_ROOM));
        assertThat(session.acceptsRuns(nowNanos)).isFalse();
        advance(600);
        assertThat(session.acceptsRuns(nowNanos)).isTrue();
    }

    @Test
    void everyCommandCarriesFencingTokenOfTerm() {
        makeSchedulable();
        session.trackNewRun(ACTIVE, "work", "", nowNanos);
        advance(150);
        assertThat(dueCommands())
                .isNotEmpty()
                .allSatisfy(command -> assertThat(command.token()).isEqualTo(7));
    }
}
