package org.nettlering.domain.workflow.host;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.domain.workflow.WorkflowSamples.HOST;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.host.HostResponse.Accepted;
import org.nettlering.domain.workflow.host.HostResponse.NoResponse;
import org.nettlering.domain.workflow.host.HostResponse.PollResult;
import org.nettlering.domain.workflow.host.HostResponse.ReportedRun;

/** Guards against TWICE: a new leader measured the lease of a host by the clock of a former incarnation that it knew by heartbeats alone. */
class UnidentifiedIncarnationTest extends RebornHostFixture {
    private static final long THIRD_START = SECOND_START + 70_000;

    private static final ActiveRun INHERITED = new ActiveRun(RUN, HOST, "", FIRST_START);

    /** The session of a leader that has heard of no incarnation before. */
    @BeforeEach
    void leaderIsReplaced() {
        session = HostSession.create(HOST, TIMINGS, 8, nowNanos);
    }

    @Test
    void leaseIsRequestedAndEndsByTheClockOfTheIncarnationThatResponded() {
        hearOfFirst();
        identifySecond();
        HostCommand.Start start = startNow(RUN);
        assertThat(start.leaseExpiryMillis()).isEqualTo(clockOfSecond() + 5_000);
        respond(start, new Accepted(clockOfSecond()));
        advance(200);
        assertThat(takeNow(HostCommand.Poll.class).leaseExpiryMillis()).isEqualTo(clockOfSecond() + 5_000);
        advance(5_100);
        assertThat(session.inferTerminations(nowNanos)).isEmpty();
        advance(700);
        assertThat(session.inferTerminations(nowNanos))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.HOST_LOST, ""));
    }

    @Test
    void runsDoNotEndByTheClockOfTheFormerIncarnationOnceTheHostIsCutOff() {
        hearOfFirst();
        advance(4_000);
        identifySecond();
        respond(startNow(RUN), new Accepted(clockOfSecond()));
        advance(100);
        HostCommand.Poll renewal = take(HostCommand.Poll.class);
        long leaseUntilNanos = nowNanos + (renewal.leaseExpiryMillis() - clockOfSecond()) * 1_000_000;
        while (nowNanos <= leaseUntilNanos) {
            advance(100);
            pendingAndDue().forEach(command -> respond(command, new NoResponse("cut off")));
            assertThat(session.inferTerminations(nowNanos)).isEmpty();
        }
    }

    @Test
    void noLeaseIsRequestedByTheClockOfAHeartbeatBeforeAResponse() {
        session.trackInheritedRun(INHERITED, false, nowNanos);
        hearOfFirst();
        assertThat(takeNow(HostCommand.Poll.class).leaseExpiryMillis()).isZero();
    }

    @Test
    void nothingStartsOnAHostThatHasOnlySentHeartbeats() {
        hearOfFirst();
        session.trackNewRun(new ActiveRun(RUN, HOST, ""), "work", "", nowNanos);
        assertThat(isDue(HostCommand.Start.class)).isFalse();
        respondToPoll(result(SECOND_START, List.of(), List.of()));
        assertThat(takeNow(HostCommand.Start.class).leaseExpiryMillis()).isEqualTo(clockOfSecond() + 5_000);
    }

    @Test
    void heartbeatOfTheFormerIncarnationIsNotUsedOnceAnotherOneHasResponded() {
        hearOfFirst();
        identifySecond();
        assertThat(session.latestHeartbeat()).isEmpty();
        assertThat(session.acceptsRuns(nowNanos)).isFalse();
        hearOfSecond();
        assertThat(session.acceptsRuns(nowNanos)).isTrue();
    }

    @Test
    void lateHeartbeatOfTheFormerIncarnationIsIgnoredWithoutAnotherPoll() {
        hearOfFirst();
        advance(10);
        identifySecond();
        hearOfSecond();
        assertThat(session.handleHeartbeat(heartbeat(FIRST_START, 90, FIRST_CLOCK), nowNanos))
                .isFalse();
        assertThat(session.acceptsRuns(nowNanos)).isTrue();
    }

    @Test
    void theFormerHeartbeatMayArriveAfterTheNextOne() {
        hearOfSecond();
        hearOfFirst();
        identifySecond();
        hearOfSecond();
        assertThat(session.acceptsRuns(nowNanos)).isTrue();
        assertThat(startNow(RUN).leaseExpiryMillis()).isEqualTo(clockOfSecond() + 5_000);
    }

    @Test
    void twoRebirthsBeforeTheFirstResponseLeaveTheClockOfTheThirdIncarnation() {
        hearOfFirst();
        session.handleHeartbeat(heartbeat(THIRD_START, 1, 50_000), nowNanos);
        identifySecond();
        assertThat(startNow(RUN).leaseExpiryMillis()).isEqualTo(clockOfSecond() + 5_000);
    }

    /** The host starts again while its first poll is under way, whose response arrives after the next heartbeat. */
    @Test
    void aHeartbeatThatArrivesBeforeTheResponseToAnEarlierPollIsFollowedByAnotherPoll() {
        HostCommand.Poll poll = take(HostCommand.Poll.class);
        long pollNanos = nowNanos;
        advance(50);
        session.handleHeartbeat(heartbeat(SECOND_START, 1, SECOND_CLOCK), nowNanos);
        session.handleResponse(poll, pollNanos, result(FIRST_START, List.of(), List.of()), nowNanos);
        session.trackNewRun(new ActiveRun(RUN, HOST, ""), "work", "", nowNanos);
        assertThat(isDue(HostCommand.Start.class)).isFalse();
        HostCommand.Poll next = take(HostCommand.Poll.class);
        assertThat(isDue(HostCommand.Start.class)).isFalse();
        respond(next, result(SECOND_START, List.of(), List.of()));
        assertThat(session.needsFence()).isTrue();
        assertThat(session.latestHeartbeat().orElseThrow().startMillis()).isEqualTo(SECOND_START);
    }

    @Test
    void aNoticeOfTheFormerIncarnationDoesNotKeepTheNextOneFromWork() {
        hearOfFirst();
        session.handleShutdownNotice(FIRST_START, nowNanos);
        identifySecond();
        hearOfSecond();
        assertThat(session.isShutdownAnnounced()).isFalse();
        assertThat(session.acceptsRuns(nowNanos)).isTrue();
    }

    @Test
    void aNoticeOfTheIncarnationThatRespondsStaysInForce() {
        session.handleShutdownNotice(SECOND_START, nowNanos);
        identifySecond();
        assertThat(session.isShutdownAnnounced()).isTrue();
    }

    @Test
    void inheritedRunOfTheFormerIncarnationEndsWhenAnotherOneRespondsAlsoIfOnlyThatWasHeardOf() {
        hearOfSecond();
        session.trackInheritedRun(INHERITED, false, nowNanos);
        assertThat(respondToPoll(result(SECOND_START, List.of(), List.of())))
                .extracting(RecordTermination::run)
                .containsExactly(RUN);
        assertThat(session.needsFence()).isTrue();
    }

    @Test
    void inheritedRunGoesOnWhereOnlyALaterIncarnationWasHeardOfWrongly() {
        hearOfSecond();
        session.trackInheritedRun(INHERITED, false, nowNanos);
        ReportedRun running = new ReportedRun(RUN, "", 10, 0);
        assertThat(respondToPoll(result(FIRST_START, List.of(running), List.of())))
                .isEmpty();
        assertThat(session.runs().contains(RUN)).isTrue();
        advance(200);
        assertThat(take(HostCommand.Poll.class).leaseExpiryMillis()).isEqualTo(clockOfFirst() + 5_000);
    }

    @Test
    void inheritedRunsWaitForTheLongestLeaseAfterTheLastHeartbeatOfAHostThatNeverResponds() {
        session.trackInheritedRun(INHERITED, false, nowNanos);
        advance(6_000);
        hearOfFirst();
        advance(6_500);
        assertThat(session.inferTerminations(nowNanos)).isEmpty();
        advance(2_000);
        assertThat(session.inferTerminations(nowNanos))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.HOST_LOST, ""));
    }

    @Test
    void aPollResultWithoutStartWhoseClockIsBehindIsOfAnotherIncarnation() {
        PollResult first = result(HostIncarnation.UNKNOWN_START, clockOfFirst());
        respondToPoll(first);
        respond(startNow(RUN), new Accepted(clockOfFirst()));
        advance(1_000);
        respondToPoll(result(HostIncarnation.UNKNOWN_START, clockOfSecond()));
        assertThat(session.needsFence()).isTrue();
    }

    @Test
    void aResponseWhoseClockIsBehindThatOfAStopIsOfAnotherIncarnationAlthoughNoStartWasKnown() {
        session.trackInheritedRun(new ActiveRun(RUN, HOST, ""), false, nowNanos);
        session.runs().requestStop(RUN);
        HostCommand.Poll poll = take(HostCommand.Poll.class);
        respond(take(HostCommand.Stop.class), new Accepted(clockOfFirst()));
        advance(10);
        session.handleResponse(poll, nowNanos, result(SECOND_START, List.of(), List.of()), nowNanos);
        assertThat(session.needsFence()).isTrue();
    }

    @Test
    void aHeartbeatWithoutStartDoesNotPutTheClockOfAnIdentifiedIncarnationForward() {
        respondToPoll(result(SECOND_START, List.of(), List.of()));
        session.handleHeartbeat(heartbeat(HostIncarnation.UNKNOWN_START, 60, FIRST_CLOCK), nowNanos);
        assertThat(startNow(RUN).leaseExpiryMillis()).isEqualTo(clockOfSecond() + 5_000);
    }

    private void hearOfFirst() {
        session.handleHeartbeat(heartbeat(FIRST_START, 51, clockOfFirst()), nowNanos);
    }

    private void hearOfSecond() {
        session.handleHeartbeat(heartbeat(SECOND_START, 1 + nowNanos, clockOfSecond()), nowNanos);
    }

    private void identifySecond() {
        respondToPoll(result(SECOND_START, List.of(), List.of()));
    }

    private HostCommand.Start startNow(RunId run) {
        session.trackNewRun(new ActiveRun(run, HOST, ""), "work", "", nowNanos);
        return takeNow(HostCommand.Start.class);
    }

    private static PollResult result(long startMillis, long clockMillis) {
        return new PollResult(clockMillis, List.of(), List.of(), startMillis);
    }
}
