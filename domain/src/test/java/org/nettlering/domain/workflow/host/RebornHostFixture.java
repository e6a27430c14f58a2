package org.nettlering.domain.workflow.host;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.domain.workflow.WorkflowSamples.HOST;
import static org.nettlering.domain.workflow.WorkflowSamples.run;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.host.HostResponse.Accepted;
import org.nettlering.domain.workflow.host.HostResponse.PollResult;
import org.nettlering.domain.workflow.host.HostResponse.ReportedRun;
import org.nettlering.domain.workflow.host.HostResponse.ReportedTermination;

/** A session whose host has started again under its id, or is about to; and what it sends and hears. */
abstract class RebornHostFixture {
    static final HostTimings TIMINGS =
            new HostTimings(Duration.ofSeconds(5), Duration.ofSeconds(6), Duration.ofMillis(200));

    static final RunId RUN = run("a", 0, 0, 1);

    static final long FIRST_START = 1_700_000_000_000L;

    /** Before the first start: the clock that it is read from may jump back. */
    static final long SECOND_START = FIRST_START - 500;

    static final long HIGHER_TOKEN = 8;

    static final long FIRST_CLOCK = 1_000_000;

    static final long SECOND_CLOCK = 100;

    HostSession session = HostSession.create(HOST, TIMINGS, 7, 0);

    private final List<HostCommand> pendingCommands = new ArrayList<>();

    long nowNanos;

    @BeforeEach
    void firstIncarnationHasEndedManyRuns() {
        session.handleHeartbeat(heartbeat(FIRST_START, 50, FIRST_CLOCK), nowNanos);
        respondToPoll(result(FIRST_START, List.of(), List.of(ended(40, run("old", 0, 0, 1)))));
        session.onTerminationCommitted(run("old", 0, 0, 1), TerminalStatus.DONE);
        respondToPoll(result(FIRST_START, List.of(), List.of()));
    }

    final void raiseToken() {
        session.raiseToken(HIGHER_TOKEN, nowNanos);
        respondToPoll(result(SECOND_START, List.of(), List.of()));
    }

    final void rebirth() {
        session.handleHeartbeat(heartbeat(SECOND_START, 1, SECOND_CLOCK), nowNanos);
        respondToPoll(result(SECOND_START, List.of(), List.of()));
    }

    final void startRun() {
        session.trackNewRun(new ActiveRun(RUN, HOST, ""), "work", "", nowNanos);
        respond(take(HostCommand.Start.class), new Accepted(clockOfFirst()));
        advance(150);
    }

    static HostHeartbeat heartbeat(long startMillis, long sequence, long clockMillis) {
        Resources capacity = Resources.of(32_000, 128_000, 0);
        return new HostHeartbeat(HOST, "pool", "fd", capacity, "a", "r1", false, clockMillis, sequence, startMillis);
    }

    static ReportedTermination ended(long sequence, RunId run) {
        return new ReportedTermination(sequence, run, TerminalStatus.DONE, "");
    }

    final PollResult result(long startMillis, List<ReportedRun> running, List<ReportedTermination> terminations) {
        long clockMillis = startMillis == FIRST_START ? clockOfFirst() : clockOfSecond();
        return new PollResult(clockMillis, running, terminations, startMillis);
    }

    final long clockOfFirst() {
        return FIRST_CLOCK + nowNanos / 1_000_000;
    }

    final long clockOfSecond() {
        return SECOND_CLOCK + nowNanos / 1_000_000;
    }

    final List<RecordTermination> respondToPoll(PollResult result) {
        return respond(take(HostCommand.Poll.class), result);
    }

    final <T extends HostCommand> T take(Class<T> type) {
        for (int attempt = 0; attempt < 40; attempt++) {
            pendingCommands.addAll(session.takeDueCommands(nowNanos));
            for (HostCommand command : pendingCommands) {
                if (type.isInstance(command)) {
                    pendingCommands.remove(command);
                    return type.cast(command);
                }
            }
            advance(50);
        }
        throw new AssertionError("no command of type " + type.getSimpleName());
    }

    /** Like {@link #take}, of the commands that are due at this moment. */
    final <T extends HostCommand> T takeNow(Class<T> type) {
        assertThat(isDue(type)).as("%s is due", type.getSimpleName()).isTrue();
        return take(type);
    }

    final boolean isDue(Class<? extends HostCommand> type) {
        pendingCommands.addAll(session.takeDueCommands(nowNanos));
        return pendingCommands.stream().anyMatch(type::isInstance);
    }

    /** Removes and returns the commands that have got no response. */
    final List<HostCommand> pendingAndDue() {
        pendingCommands.addAll(session.takeDueCommands(nowNanos));
        List<HostCommand> commands = List.copyOf(pendingCommands);
        pendingCommands.clear();
        return commands;
    }

    final List<RecordTermination> respond(HostCommand command, HostResponse response) {
        return session.handleResponse(command, nowNanos, response, nowNanos);
    }

    final void advance(long millis) {
        nowNanos += Duration.ofMillis(millis).toNanos();
    }
}
