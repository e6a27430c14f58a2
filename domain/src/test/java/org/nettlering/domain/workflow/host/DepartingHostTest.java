package org.nettlering.domain.workflow.host;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.domain.workflow.WorkflowSamples.HOST;
import static org.nettlering.domain.workflow.WorkflowSamples.run;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.host.HostResponse.Accepted;
import org.nettlering.domain.workflow.host.HostResponse.NoResponse;
import org.nettlering.domain.workflow.host.HostResponse.PollResult;
import org.nettlering.domain.workflow.host.HostResponse.ReportedRun;

/** Guards against TWICE: the silence of a host that had announced its shutdown was taken for its end. */
class DepartingHostTest {
    private static final Duration LEASE = Duration.ofSeconds(5);

    private static final Duration STOP_GRACE = Duration.ofMillis(200);

    /** What the lease may be exceeded by: a slow clock of the host, a stop, and the margin of the leader. */
    private static final Duration MARGIN = LEASE.dividedBy(50).plus(STOP_GRACE).plusMillis(500);

    private static final HostTimings TIMINGS = new HostTimings(LEASE, Duration.ofSeconds(6), STOP_GRACE);

    private static final RunId RUN = run("a", 0, 0, 1);

    private static final long START_MILLIS = 1_700_000_000_000L;

    private final HostSession session = HostSession.create(HOST, TIMINGS, 7, 0);

    private long nowNanos;

    private long sequence;

    /** When the last poll that renewed the lease was sent. */
    private long lastRenewalNanos;

    @BeforeEach
    void startARun() {
        sendHeartbeat(START_MILLIS);
        session.takeDueCommands(nowNanos).forEach(this::respondRunning);
        session.trackNewRun(new ActiveRun(RUN, HOST, ""), "work", "", nowNanos);
        session.takeDueCommands(nowNanos).forEach(this::respondRunning);
        advance(2_000, true);
    }

    @Test
    void runsOfASilentHostAreNotOverBeforeItsLease() {
        session.handleShutdownNotice(START_MILLIS, nowNanos);
        long overNanos = lastRenewalNanos + LEASE.toNanos();
        while (nowNanos < overNanos) {
            assertThat(session.inferTerminations(nowNanos)).isEmpty();
            advance(50, false);
        }
    }

    @Test
    void runsOfASilentHostAreOverSoonAfterItsLeaseAlthoughItsLastHeartbeatIsRecent() {
        sendHeartbeat(START_MILLIS);
        session.handleShutdownNotice(START_MILLIS, nowNanos);
        long overNanos = lastRenewalNanos + LEASE.plus(MARGIN).toNanos();
        while (nowNanos < overNanos) {
            advance(50, false);
        }
        assertThat(session.inferTerminations(nowNanos))
                .containsExactly(new RecordTermination(RUN, TerminalStatus.HOST_LOST, ""));
    }

    @Test
    void leaseIsNotRenewedAfterTheNoticeAlthoughTheHostAnswers() {
        session.handleShutdownNotice(START_MILLIS, nowNanos);
        long noticeNanos = nowNanos;
        advance(3_000, true);
        assertThat(lastRenewalNanos).isLessThanOrEqualTo(noticeNanos);
    }

    @Test
    void hostWithoutRunsIsNoLongerTrackedSomeTimeAfterItsNotice() {
        session.onTerminationCommitted(RUN, TerminalStatus.DONE);
        session.handleShutdownNotice(START_MILLIS, nowNanos);
        assertThat(session.isObsolete(nowNanos)).isFalse();
        advance(3_000, false);
        assertThat(session.isObsolete(nowNanos)).isTrue();
    }

    @Test
    void hostWithRunsIsTrackedAsLongAsTheyMayBeActive() {
        session.handleShutdownNotice(START_MILLIS, nowNanos);
        advance(3_000, false);
        assertThat(session.isObsolete(nowNanos)).isFalse();
    }

    @Test
    void lateNoticeOfAnEarlierIncarnationIsIgnored() {
        assertThat(session.handleShutdownNotice(START_MILLIS - 20_000, nowNanos))
                .isFalse();
        assertThat(session.isShutdownAnnounced()).isFalse();
    }

    @Test
    void lateNoticeIsIgnoredAlsoByALeaderThatHasPolledNothingYet() {
        HostSession newLeader = HostSession.create(HOST, TIMINGS, 8, nowNanos);
        newLeader.handleHeartbeat(heartbeat(START_MILLIS), nowNanos);
        assertThat(newLeader.handleShutdownNotice(START_MILLIS - 20_000, nowNanos))
                .isFalse();
        assertThat(newLeader.isShutdownAnnounced()).isFalse();
    }

    @Test
    void noticeOfAHostThatDoesNotTellItsStartIsTaken() {
        assertThat(session.handleShutdownNotice(HostIncarnation.UNKNOWN_START, nowNanos))
                .isTrue();
    }

    private void advance(long millis, boolean reachable) {
        for (long passed = 0; passed < millis; passed += 50) {
            nowNanos += Duration.ofMillis(50).toNanos();
            for (HostCommand command : session.takeDueCommands(nowNanos)) {
                if (reachable) {
                    respondRunning(command);
                } else {
                    session.handleResponse(command, nowNanos, new NoResponse("timeout"), nowNanos);
                }
            }
        }
    }

    private void respondRunning(HostCommand command) {
        if (command instanceof HostCommand.Poll poll && poll.leaseExpiryMillis() > 0) {
            lastRenewalNanos = nowNanos;
        }
        List<ReportedRun> running = session.runs().contains(RUN) ? List.of(new ReportedRun(RUN, "", 10, 0)) : List.of();
        HostResponse response = command instanceof HostCommand.Poll
                ? new PollResult(clockMillis(), running, List.of(), START_MILLIS)
                : new Accepted(clockMillis());
        session.handleResponse(command, nowNanos, response, nowNanos);
    }

    private void sendHeartbeat(long startMillis) {
        session.handleHeartbeat(heartbeat(startMillis), nowNanos);
    }

    private HostHeartbeat heartbeat(long startMillis) {
        sequence++;
        Resources capacity = Resources.of(32_000, 128_000, 0);
        return new HostHeartbeat(HOST, "pool", "fd", capacity, "a", "r1", true, clockMillis(), sequence, startMillis);
    }

    private long clockMillis() {
        return 1_000_000 + Duration.ofNanos(nowNanos).toMillis();
    }
}
