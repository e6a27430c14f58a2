package org.nettlering.domain.workflow.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.StepId;
import org.nettlering.domain.workflow.TaskId;

/** Each reason why a host gets no runs, and that there is one whenever it gets none. */
class HostRefusalTest {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private static final HostTimings TIMINGS =
            new HostTimings(Duration.ofSeconds(5), Duration.ofSeconds(6), Duration.ofMillis(200));

    private static final HostIncarnation HOST = new HostIncarnation("h1", "10.0.0.1:80");

    private final HostSession session = HostSession.create(HOST, TIMINGS, 1, 0);

    private long sequence;

    @Test
    void aHostIsRefusedUntilItSentAHeartbeatAndWasPolled() {
        assertRefused(HostRefusal.NO_HEARTBEAT, 0);
        sendHeartbeat(false, 0);
        assertRefused(HostRefusal.NOT_POLLED, 0);
        respondToPoll(1);
        assertRefused(null, 1);
    }

    @Test
    void aHostWithAnOldHeartbeatIsRefused() {
        connect();
        assertRefused(null, 4_499);
        assertRefused(HostRefusal.HEARTBEAT_OLD, 4_500);
    }

    @Test
    void aDrainingHostIsRefused() {
        connect();
        sendHeartbeat(true, 2);
        assertRefused(HostRefusal.DRAINING, 2);
    }

    @Test
    void aHostThatAnnouncedItsShutdownIsRefused() {
        connect();
        session.handleShutdownNotice(HostIncarnation.UNKNOWN_START, 2 * NANOS_PER_MILLI);
        assertRefused(HostRefusal.SHUTTING_DOWN, 2);
    }

    @Test
    void aHostThatDoesNotRespondIsRefused() {
        connect();
        HostCommand poll = new HostCommand.Poll(HOST, 1, 0, 0, 0);
        session.handleResponse(poll, 1, new HostResponse.NoResponse("timeout"), 2 * NANOS_PER_MILLI);
        assertRefused(HostRefusal.UNRESPONSIVE, 2);
    }

    @Test
    void aHostThatRejectedAStartIsRefusedForAWhile() {
        connect();
        RunId run = new RunId(new TaskId(new StepId("a", 0, 0), 0), 1);
        session.trackNewRun(new ActiveRun(run, HOST, ""), "work", "", 2 * NANOS_PER_MILLI);
        HostCommand start = session.takeDueCommands(2 * NANOS_PER_MILLI).getFirst();
        HostResponse rejected = new HostResponse.Rejected(HostResponse.RejectionReason.NO_ROOM);
        session.handleResponse(start, 2 * NANOS_PER_MILLI, rejected, 3 * NANOS_PER_MILLI);
        assertRefused(HostRefusal.REJECTED_START, 3);
        assertRefused(null, 503);
    }

    private void connect() {
        sendHeartbeat(false, 0);
        respondToPoll(1);
    }

    private void sendHeartbeat(boolean draining, long nowMillis) {
        sequence++;
        session.handleHeartbeat(
                new HostHeartbeat(
                        HOST, "pool", "fd", Resources.of(4_000, 4_000, 0), "a", "r1", draining, 1_000, sequence),
                nowMillis * NANOS_PER_MILLI);
    }

    private void respondToPoll(long nowMillis) {
        HostCommand poll = session.takeDueCommands(nowMillis * NANOS_PER_MILLI).getFirst();
        session.handleResponse(
                poll,
                nowMillis * NANOS_PER_MILLI,
                new HostResponse.PollResult(1_000, List.of(), List.of()),
                nowMillis * NANOS_PER_MILLI);
    }

    private void assertRefused(@Nullable HostRefusal reason, long nowMillis) {
        long nowNanos = nowMillis * NANOS_PER_MILLI;
        assertThat(session.refusal(nowNanos).orElse(null)).isEqualTo(reason);
        assertThat(session.acceptsRuns(nowNanos)).isEqualTo(reason == null);
    }
}
