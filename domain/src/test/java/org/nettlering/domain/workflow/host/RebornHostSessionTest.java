package org.nettlering.domain.workflow.host;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.domain.workflow.WorkflowSamples.HOST;
import static org.nettlering.domain.workflow.WorkflowSamples.run;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.host.HostResponse.Accepted;
import org.nettlering.domain.workflow.host.HostResponse.NoResponse;
import org.nettlering.domain.workflow.host.HostResponse.PollResult;
import org.nettlering.domain.workflow.host.HostResponse.ReportedRun;

/** Guards against TWICE: what was known of a host was used after it had started again under its id. */
class RebornHostSessionTest extends RebornHostFixture {
    @Test
    void endsOfTheFirstIncarnationAreNotAcknowledgedToTheSecond() {
        rebirth();
        raiseToken();
        startRun();
        HostCommand.Poll poll = take(HostCommand.Poll.class);
        assertThat(poll.acknowledgedThrough()).isZero();
        assertThat(respond(poll, result(SECOND_START, List.of(), List.of(ended(1, RUN)))))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.DONE, ""));
    }

    @Test
    void heartbeatOfTheSecondIncarnationCountsOnceAPollConfirmsIt() {
        advance(10_000);
        session.handleHeartbeat(heartbeat(SECOND_START, 1, SECOND_CLOCK), nowNanos);
        assertThat(session.acceptsRuns(nowNanos)).isFalse();
        respondToPoll(result(SECOND_START, List.of(), List.of()));
        assertThat(session.latestHeartbeat().orElseThrow().startMillis()).isEqualTo(SECOND_START);
        raiseToken();
        assertThat(session.acceptsRuns(nowNanos)).isTrue();
    }

    @Test
    void rebornHostAcceptsRunsOnceItHasSeenATokenThatShutsLateCommandsOut() {
        rebirth();
        assertThat(session.needsFence()).isTrue();
        assertThat(session.acceptsRuns(nowNanos)).isFalse();
        session.raiseToken(HIGHER_TOKEN, nowNanos);
        assertThat(session.acceptsRuns(nowNanos)).isFalse();
        HostCommand.Poll poll = take(HostCommand.Poll.class);
        assertThat(poll.token()).isEqualTo(HIGHER_TOKEN);
        respond(poll, result(SECOND_START, List.of(), List.of()));
        assertThat(session.acceptsRuns(nowNanos)).isTrue();
    }

    @Test
    void lateHeartbeatOfTheFirstIncarnationIsIgnored() {
        rebirth();
        raiseToken();
        assertThat(session.handleHeartbeat(heartbeat(FIRST_START, 51, FIRST_CLOCK), nowNanos))
                .isFalse();
        assertThat(session.acceptsRuns(nowNanos)).isTrue();
        assertThat(session.latestHeartbeat().orElseThrow().startMillis()).isEqualTo(SECOND_START);
    }

    @Test
    void pollResultOfTheFirstIncarnationThatOvertookNothingIsIgnored() {
        startRun();
        HostCommand.Poll late = take(HostCommand.Poll.class);
        long lateSentNanos = nowNanos;
        advance(7_000);
        session.overdueCommands(nowNanos).forEach(command -> respond(command, new NoResponse("overdue")));
        rebirth();
        PollResult stale = result(FIRST_START, List.of(), List.of(ended(41, run("b", 0, 0, 1))));
        assertThat(session.handleResponse(late, lateSentNanos, stale, nowNanos)).isEmpty();
        raiseToken();
        startRun();
        assertThat(take(HostCommand.Poll.class).acknowledgedThrough()).isZero();
    }

    @Test
    void runsOfTheFirstIncarnationEndAsLostAtOnce() {
        startRun();
        advance(600);
        respondToPoll(result(FIRST_START, List.of(new ReportedRun(RUN, "", 10, 0)), List.of()));
        advance(100);
        assertThat(respondToPoll(result(SECOND_START, List.of(), List.of())))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.HOST_LOST, ""));
    }

    @Test
    void runThatTheSecondIncarnationStartedBeforeItsRebirthWasKnownGoesOn() {
        startRun();
        advance(100);
        assertThat(respondToPoll(result(SECOND_START, List.of(new ReportedRun(RUN, "", 10, 0)), List.of())))
                .isEmpty();
        assertThat(session.runs().contains(RUN)).isTrue();
    }

    @Test
    void stopThatTheFirstIncarnationAcknowledgedIsSentAgain() {
        session.trackNewRun(new ActiveRun(RUN, HOST, ""), "work", "", nowNanos);
        respond(take(HostCommand.Start.class), new NoResponse("late"));
        respond(take(HostCommand.Stop.class), new Accepted(clockOfFirst()));
        advance(300);
        assertThat(respondToPoll(result(SECOND_START, List.of(), List.of())))
                .as("the second incarnation may still execute the start")
                .isEmpty();
        respond(take(HostCommand.Stop.class), new Accepted(clockOfSecond()));
        advance(300);
        assertThat(respondToPoll(result(SECOND_START, List.of(), List.of())))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.NOT_BEGUN, ""));
    }

    @Test
    void leaseOfTheSecondIncarnationIsNotOverByTheClockOfTheFirst() {
        rebirth();
        raiseToken();
        session.trackNewRun(new ActiveRun(RUN, HOST, ""), "work", "", nowNanos);
        respond(take(HostCommand.Start.class), new Accepted(clockOfSecond()));
        advance(5_400);
        assertThat(session.inferTerminations(nowNanos)).isEmpty();
        advance(6_000);
        assertThat(session.inferTerminations(nowNanos))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.HOST_LOST, ""));
    }

    @Test
    void inheritedRunOfAnEarlierIncarnationIsNotKnownToHaveBegunBeforeItsCrash() {
        HostSession next = HostSession.create(HOST, TIMINGS, 8, nowNanos);
        next.trackInheritedRun(new ActiveRun(RUN, HOST, "", FIRST_START), false, nowNanos);
        HostCommand poll = next.takeDueCommands(nowNanos).getFirst();
        assertThat(next.handleResponse(poll, nowNanos, result(SECOND_START, List.of(), List.of()), nowNanos))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.CRASH_UNCONFIRMED, ""));
    }
}
