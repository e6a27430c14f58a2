package org.nettlering.domain.workflow.host;

import static org.assertj.core.api.Assertions.assertThat;
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
import org.nettlering.domain.workflow.host.HostResponse.ReportedRun;

/** Guards against TWICE: a host that starts again under its id, and is cut off before a poll has told which incarnation runs. */
class CutOffAfterRebirthTest extends RebornHostFixture {
    private static final RunId OTHER_RUN = run("b", 0, 0, 1);

    /** The lease of the run ends at 6 s by the clock of the second incarnation, which may be slow, not at 5 s by that of the first. */
    private static final long LONGEST_LEASE_MILLIS = 6_000 * 51 / 50;

    @Test
    void leaseOfARunThatTheSecondIncarnationConfirmedIsNotOverByTheClockOfTheFirst() {
        HostCommand.Start start = sendStart(RUN);
        respond(start, new Accepted(clockOfSecond()));
        cutOff(LONGEST_LEASE_MILLIS);
        assertThat(session.inferTerminations(nowNanos)).isEmpty();
        advance(3_000);
        assertThat(session.inferTerminations(nowNanos))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.HOST_LOST, ""));
    }

    @Test
    void leaseOfARunWhoseStartWasNotAnsweredIsNotOverByTheClockOfTheFirst() {
        HostCommand.Start start = sendStart(RUN);
        respond(start, new NoResponse("cut off"));
        cutOff(LONGEST_LEASE_MILLIS);
        assertThat(session.inferTerminations(nowNanos)).isEmpty();
        advance(2_500);
        assertThat(session.inferTerminations(nowNanos)).hasSize(1);
    }

    @Test
    void aRunThatTheFirstIncarnationConfirmedEndsWithItsLeaseBesideOneWhoseStartWasNotAnswered() {
        respond(sendStart(OTHER_RUN), new Accepted(clockOfFirst()));
        respond(sendStart(RUN), new NoResponse("cut off"));
        cutOff(5_900);
        assertThat(session.inferTerminations(nowNanos))
                .containsExactly(new RecordTermination(OTHER_RUN, TerminalStatus.HOST_LOST, ""));
    }

    @Test
    void aClockThatIsTooFarAheadDoesNotEndALeaseEarly() {
        respond(sendStart(RUN), new Accepted(clockOfFirst() + 1_000_000));
        advance(100);
        assertThat(session.inferTerminations(nowNanos)).isEmpty();
    }

    @Test
    void aPollFollowsAHeartbeatOfAnotherIncarnationAlthoughOneHangs() {
        respond(sendStart(RUN), new Accepted(clockOfFirst()));
        HostCommand.Poll hanging = take(HostCommand.Poll.class);
        session.handleHeartbeat(heartbeat(SECOND_START, 1, SECOND_CLOCK), nowNanos);
        HostCommand.Poll next = takeNow(HostCommand.Poll.class);
        assertThat(respond(next, result(SECOND_START, List.of(), List.of()))).hasSize(1);
        assertThat(session.needsFence()).isTrue();
        assertThat(respond(hanging, new NoResponse("hung"))).isEmpty();
        raiseToken();
        assertThat(session.acceptsRuns(nowNanos)).isTrue();
    }

    @Test
    void nothingStartsBetweenAHeartbeatOfAnotherIncarnationAndTheRaisedToken() {
        session.handleHeartbeat(heartbeat(SECOND_START, 1, SECOND_CLOCK), nowNanos);
        session.trackNewRun(new ActiveRun(RUN, HOST, ""), "work", "", nowNanos);
        HostCommand.Poll poll = takeNow(HostCommand.Poll.class);
        assertThat(isDue(HostCommand.Start.class)).isFalse();
        respond(poll, result(SECOND_START, List.of(), List.of()));
        assertThat(isDue(HostCommand.Start.class)).isFalse();
        raiseToken();
        assertThat(takeNow(HostCommand.Start.class).token()).isEqualTo(HIGHER_TOKEN);
    }

    @Test
    void aLateResponseOfTheFirstIncarnationIsNotTheOneThatWasAskedFor() {
        respond(sendStart(RUN), new Accepted(clockOfFirst()));
        HostCommand.Poll early = take(HostCommand.Poll.class);
        long earlyNanos = nowNanos;
        advance(10);
        session.handleHeartbeat(heartbeat(SECOND_START, 1, SECOND_CLOCK), nowNanos);
        session.handleResponse(early, earlyNanos, result(FIRST_START, List.of(), List.of()), nowNanos);
        session.trackNewRun(new ActiveRun(OTHER_RUN, HOST, ""), "work", "", nowNanos);
        assertThat(isDue(HostCommand.Start.class)).isFalse();
    }

    /** The list was made before the start arrived, so that it omits a run that goes on. */
    @Test
    void aRunThatTheSecondIncarnationConfirmedIsNotEndedByAnEarlierList() {
        session.trackNewRun(new ActiveRun(OTHER_RUN, HOST, ""), "work", "", nowNanos);
        respond(take(HostCommand.Start.class), new Accepted(clockOfFirst()));
        HostCommand.Poll poll = take(HostCommand.Poll.class);
        long pollNanos = nowNanos;
        advance(10);
        respond(sendStart(RUN), new Accepted(clockOfSecond()));
        session.handleResponse(poll, pollNanos, result(SECOND_START, List.of(), List.of()), nowNanos);
        List<RecordTermination> ended = respondToPoll(result(SECOND_START, List.of(running(RUN)), List.of()));
        assertThat(ended).extracting(RecordTermination::run).containsExactly(OTHER_RUN);
        assertThat(session.runs().evidenceOf(RUN)).isEmpty();
    }

    /** A start of before may still arrive until the host has seen the raised token, and is then given the longest lease. */
    @Test
    void leaseBoundOfTheSecondIncarnationRisesUntilItHasSeenTheRaisedToken() {
        respond(sendStart(RUN), new NoResponse("late"));
        rebirth();
        advance(3_000);
        respondToPoll(result(SECOND_START, List.of(), List.of()));
        cutOff(LONGEST_LEASE_MILLIS);
        assertThat(session.inferTerminations(nowNanos)).isEmpty();
    }

    private HostCommand.Start sendStart(RunId run) {
        session.trackNewRun(new ActiveRun(run, HOST, ""), "work", "", nowNanos);
        return takeNow(HostCommand.Start.class);
    }

    private static ReportedRun running(RunId run) {
        return new ReportedRun(run, "", 10, 0);
    }

    /** Lets time pass in which nothing that is sent to the host gets a response. */
    private void cutOff(long millis) {
        for (long passed = 0; passed < millis; passed += 100) {
            pendingAndDue().forEach(command -> respond(command, new NoResponse("cut off")));
            advance(100);
        }
    }
}
