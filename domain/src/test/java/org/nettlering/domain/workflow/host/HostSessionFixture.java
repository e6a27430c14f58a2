package org.nettlering.domain.workflow.host;

import static org.nettlering.domain.workflow.WorkflowSamples.HOST;
import static org.nettlering.domain.workflow.WorkflowSamples.run;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.host.HostResponse.NoResponse;
import org.nettlering.domain.workflow.host.HostResponse.PollResult;
import org.nettlering.domain.workflow.host.HostResponse.ReportedRun;
import org.nettlering.domain.workflow.host.HostResponse.ReportedTermination;

/** A session of one host, whose commands the test answers in place of the host. */
abstract class HostSessionFixture {
    static final HostTimings TIMINGS =
            new HostTimings(Duration.ofSeconds(5), Duration.ofSeconds(6), Duration.ofMillis(200));

    static final RunId RUN = run("a", 0, 0, 1);

    static final ActiveRun ACTIVE = new ActiveRun(RUN, HOST, "");

    final HostSession session = HostSession.create(HOST, TIMINGS, 7, 0);

    long nowNanos;

    long hostClockMillis = 1_000_000;

    final void makeSchedulable() {
        sendHeartbeat(false, 1);
        respondToPoll(List.of(), List.of());
    }

    final void sendHeartbeat(boolean draining, long sequence) {
        Resources capacity = Resources.of(32_000, 128_000, 0);
        session.handleHeartbeat(
                new HostHeartbeat(HOST, "pool", "fd", capacity, "a", "r1", draining, hostClockMillis, sequence),
                nowNanos);
    }

    final HostCommand.Start takeStart() {
        session.trackNewRun(ACTIVE, "work", "", nowNanos);
        return takeCommand(HostCommand.Start.class);
    }

    final List<RecordTermination> respondToPoll(List<ReportedRun> running, List<ReportedTermination> terminations) {
        return respond(takePoll(), new PollResult(hostClockMillis, running, terminations));
    }

    final HostCommand.Poll takePoll() {
        for (int attempt = 0; attempt < 20; attempt++) {
            if (dueCommands().stream().anyMatch(HostCommand.Poll.class::isInstance)) {
                return takeCommand(HostCommand.Poll.class);
            }
            advance(50);
        }
        throw new AssertionError("no poll is due");
    }

    private final List<HostCommand> pendingCommands = new ArrayList<>();

    /** Returns the due commands, including those of earlier calls that the test has not taken yet. */
    final List<HostCommand> dueCommands() {
        pendingCommands.addAll(session.takeDueCommands(nowNanos));
        return List.copyOf(pendingCommands);
    }

    final <T extends HostCommand> T takeCommand(Class<T> type) {
        T command = dueCommands().stream()
                .filter(type::isInstance)
                .map(type::cast)
                .findFirst()
                .orElseThrow(() -> new AssertionError("no command of type " + type.getSimpleName()));
        pendingCommands.remove(command);
        return command;
    }

    final List<RecordTermination> respond(HostCommand command, HostResponse response) {
        return session.handleResponse(command, nowNanos, response, nowNanos);
    }

    final void advance(long millis) {
        nowNanos += Duration.ofMillis(millis).toNanos();
        hostClockMillis += millis;
    }

    /** Advances the clocks while every command times out. */
    final void advanceWithoutResponses(long millis) {
        for (long passed = 0; passed < millis; passed += 100) {
            advance(100);
            for (HostCommand command : session.takeDueCommands(nowNanos)) {
                respond(command, new NoResponse("timeout"));
            }
        }
    }
}
