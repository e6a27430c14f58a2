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
import org.nettlering.domain.workflow.host.HostResponse.OtherIncarnation;
import org.nettlering.domain.workflow.host.HostResponse.PollResult;
import org.nettlering.domain.workflow.host.HostResponse.ReportedRun;

/** Which runs of a host that crashed are taken for the cause. */
class HostCrashTest extends HostSessionFixture {
    @Test
    void otherIncarnationAtSameAddressEndsRunsThatWereAtWorkAsLost() {
        makeSchedulable();
        respond(takeStart(), new Accepted(hostClockMillis));
        advance(600);
        respondToPoll(List.of(new ReportedRun(RUN, "", 10, 0)), List.of());
        respond(takePoll(), new OtherIncarnation());
        assertThat(session.inferTerminations(nowNanos))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.HOST_LOST, ""));
        assertThat(dueCommands()).isEmpty();
    }

    @Test
    void onlyRunThatHadJustStartedIsTakenForTheCauseOfACrash() {
        makeSchedulable();
        respond(takeStart(), new Accepted(hostClockMillis));
        advance(600);
        respondToPoll(List.of(new ReportedRun(RUN, "", 10, 0)), List.of());
        RunId next = run("b", 0, 0, 1);
        session.trackNewRun(new ActiveRun(next, HOST, ""), "work", "", nowNanos);
        respond(takeCommand(HostCommand.Start.class), new Accepted(hostClockMillis));
        respond(takePoll(), new OtherIncarnation());
        assertThat(session.inferTerminations(nowNanos))
                .containsExactly(
                        new RecordTermination(RUN, TerminalStatus.HOST_LOST, ""),
                        new RecordTermination(next, TerminalStatus.CRASHED_HOST, ""));
        assertThat(dueCommands()).isEmpty();
    }

    /**
     * Guards against LOST: a host that crashed just after a suspect's work was done counted as crashed by it, as the poll that
     * would have shown it at work waited for a second.
     */
    @Test
    void suspectIsKnownToBeHarmlessOnceItHasBeenAtWorkForAWhile() {
        makeSchedulable();
        HostCommand.Start start = takeStart();
        session.runs().watch(RUN);
        respond(start, new Accepted(hostClockMillis));
        HostCommand.Poll poll = takePoll();
        assertThat(poll.maxWaitMillis()).isBetween(1L, 500L);
        advance(poll.maxWaitMillis() + 1);
        respond(poll, new PollResult(hostClockMillis, List.of(new ReportedRun(RUN, "", 60, 0)), List.of()));
        HostCommand.Poll next = takePoll();
        assertThat(next.maxWaitMillis()).as("nothing is left to be shown").isEqualTo(1_000);
        respond(next, new OtherIncarnation());
        assertThat(session.inferTerminations(nowNanos))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.HOST_LOST, ""));
    }

    @Test
    void runsThatHadJustStartedTogetherAreSuspectsOfACrash() {
        makeSchedulable();
        respond(takeStart(), new Accepted(hostClockMillis));
        RunId next = run("b", 0, 0, 1);
        session.trackNewRun(new ActiveRun(next, HOST, ""), "work", "", nowNanos);
        respond(takeCommand(HostCommand.Start.class), new Accepted(hostClockMillis));
        respond(takePoll(), new OtherIncarnation());
        assertThat(session.inferTerminations(nowNanos))
                .containsExactly(
                        new RecordTermination(RUN, TerminalStatus.CRASH_SUSPECT, ""),
                        new RecordTermination(next, TerminalStatus.CRASH_SUSPECT, ""));
    }

    /** Guards against LOST: a start that found a host that was down already counted like one that the host had confirmed. */
    @Test
    void runWhoseStartGotNoAnswerIsNotKnownToHaveBegunBeforeACrash() {
        makeSchedulable();
        respond(takeStart(), new Accepted(hostClockMillis));
        RunId next = run("b", 0, 0, 1);
        session.trackNewRun(new ActiveRun(next, HOST, ""), "work", "", nowNanos);
        respond(takeCommand(HostCommand.Start.class), new NoResponse("reset"));
        respond(takePoll(), new OtherIncarnation());
        assertThat(session.inferTerminations(nowNanos))
                .containsExactly(
                        new RecordTermination(RUN, TerminalStatus.CRASH_SUSPECT, ""),
                        new RecordTermination(next, TerminalStatus.CRASH_UNCONFIRMED, ""));
    }

    @Test
    void aSilentHostThatTurnsOutToHaveCrashedTellsWhichRunsHadBegun() {
        makeSchedulable();
        respond(takeStart(), new Accepted(hostClockMillis));
        RunId next = run("b", 0, 0, 1);
        session.trackNewRun(new ActiveRun(next, HOST, ""), "work", "", nowNanos);
        respond(takeCommand(HostCommand.Start.class), new NoResponse("dark"));
        advanceWithoutResponses(9_000);
        assertThat(session.inferTerminations(nowNanos))
                .containsExactly(
                        new RecordTermination(RUN, TerminalStatus.HOST_LOST, ""),
                        new RecordTermination(next, TerminalStatus.HOST_LOST, ""));
        respond(takePoll(), new OtherIncarnation());
        assertThat(session.inferTerminations(nowNanos))
                .containsExactly(
                        new RecordTermination(RUN, TerminalStatus.CRASH_SUSPECT, ""),
                        new RecordTermination(next, TerminalStatus.CRASH_UNCONFIRMED, ""));
    }

    @Test
    void startThatReachesAnotherIncarnationNeverBegan() {
        makeSchedulable();
        assertThat(respond(takeStart(), new OtherIncarnation()))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.NOT_BEGUN, ""));
    }

    @Test
    void hostThatAnnouncedItsEndDidNotCrash() {
        makeSchedulable();
        respond(takeStart(), new Accepted(hostClockMillis));
        respondToPoll(List.of(new ReportedRun(RUN, "", 10, 0)), List.of());
        sendHeartbeat(true, 2);
        respond(takePoll(), new OtherIncarnation());
        assertThat(session.inferTerminations(nowNanos))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.HOST_LOST, ""));
    }
}
