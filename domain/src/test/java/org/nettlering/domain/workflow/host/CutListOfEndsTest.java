package org.nettlering.domain.workflow.host;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.domain.workflow.WorkflowSamples.HOST;
import static org.nettlering.domain.workflow.WorkflowSamples.run;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.host.HostResponse.Accepted;
import org.nettlering.domain.workflow.host.HostResponse.NoResponse;
import org.nettlering.domain.workflow.host.HostResponse.PollResult;
import org.nettlering.domain.workflow.host.HostResponse.ReportedRun;
import org.nettlering.domain.workflow.host.HostResponse.ReportedTermination;

/** Guards against TWICE: a run whose end did not fit into the list of a host was taken for one that never began. */
class CutListOfEndsTest {
    private static final HostTimings TIMINGS =
            new HostTimings(Duration.ofSeconds(5), Duration.ofSeconds(6), Duration.ofMillis(200));

    /** How many ends the host lists at a time; the session isn't told. */
    private static final int LIMIT = 4;

    private static final long START_MILLIS = 1_700_000_000_000L;

    private final HostSession session = HostSession.create(HOST, TIMINGS, 7, 0);

    /** The unacknowledged ends at the host, by sequence number. */
    private final TreeMap<Long, ReportedTermination> ends = new TreeMap<>();

    private final List<ReportedRun> running = new ArrayList<>();

    private final List<RecordTermination> found = new ArrayList<>();

    private long startMillis = START_MILLIS;

    private long nowNanos;

    @Test
    void inheritedRunsThatEndedBeyondTheListAreDone() {
        List<RunId> runs = runs(11);
        runs.forEach(this::inherit);
        end(runs);
        advance(2_000);
        assertThat(found).containsExactlyElementsOf(doneRecords(runs));
    }

    @Test
    void inheritedRunsThatEndedAndFillTheListExactlyAreDone() {
        List<RunId> runs = runs(LIMIT);
        runs.forEach(this::inherit);
        end(runs);
        advance(2_000);
        assertThat(found).containsExactlyElementsOf(doneRecords(runs));
    }

    @Test
    void inheritedRunThatNeverBeganIsFoundBehindAFullList() {
        List<RunId> runs = runs(9);
        runs.forEach(this::inherit);
        end(runs.subList(0, 8));
        advance(2_000);
        assertThat(found)
                .contains(new RecordTermination(runs.getLast(), TerminalStatus.NOT_BEGUN, ""))
                .hasSize(9);
    }

    @Test
    void theRestOfACutListIsFetchedWithoutWaiting() {
        List<RunId> runs = runs(41);
        runs.forEach(this::inherit);
        end(runs);
        advance(1_500);
        assertThat(found).as("11 polls at an interval of 100 ms").hasSize(41);
    }

    /** A run that the response could not report yet is no reason to poll more often. */
    @Test
    void startInFlightBesideAListOfEndsNeedsNoImmediatePoll() {
        RunId ended = run("ended", 0, 0, 1);
        start(ended);
        end(List.of(ended));
        session.trackNewRun(new ActiveRun(run("next", 0, 0, 1), HOST, ""), "work", "", nowNanos);
        List<HostCommand.Poll> polls = new ArrayList<>();
        for (int passed = 0; passed < 50; passed++) {
            nowNanos += Duration.ofMillis(10).toNanos();
            answerPolls(polls);
            session.onTerminationCommitted(ended, TerminalStatus.DONE);
        }
        assertThat(polls.getLast().acknowledgedThrough()).isPositive();
        assertThat(polls.getLast().maxWaitMillis()).isPositive();
    }

    /** Answers the polls that are due, and adds them to a list; starts stay unanswered. */
    private void answerPolls(List<HostCommand.Poll> polls) {
        for (HostCommand command : session.takeDueCommands(nowNanos)) {
            if (command instanceof HostCommand.Poll poll) {
                polls.add(poll);
                session.handleResponse(poll, nowNanos, respond(poll), nowNanos);
            }
        }
    }

    @Test
    void confirmedRunThatEndedBeyondTheListIsNotStopped() {
        List<RunId> runs = runs(LIMIT + 1);
        runs.forEach(this::start);
        end(runs);
        advance(2_000);
        assertThat(stops).isEmpty();
        assertThat(found).containsExactlyElementsOf(doneRecords(runs));
    }

    @Test
    void stoppedRunThatHadEndedBeyondTheListIsDone() {
        List<RunId> runs = runs(2 * LIMIT);
        runs.forEach(this::start);
        session.runs().requestStop(runs.getLast());
        commitsHeldBack = true;
        end(runs);
        advance(2_000);
        commitsHeldBack = false;
        advance(2_000);
        assertThat(found).contains(new RecordTermination(runs.getLast(), TerminalStatus.DONE, ""));
        assertThat(found).extracting(RecordTermination::status).containsOnly(TerminalStatus.DONE);
    }

    @Test
    void unansweredStartWhoseRunEndedBeyondTheListIsDone() {
        List<RunId> runs = runs(LIMIT);
        runs.forEach(this::start);
        startsAnswered = false;
        RunId unanswered = run("unanswered", 0, 0, 1);
        start(unanswered);
        commitsHeldBack = true;
        end(runs);
        end(List.of(unanswered));
        advance(2_000);
        commitsHeldBack = false;
        advance(2_000);
        assertThat(found).contains(new RecordTermination(unanswered, TerminalStatus.DONE, ""));
    }

    /** The later incarnation may have executed the start that was meant for the earlier one. */
    @Test
    void runThatALaterIncarnationEndedBeyondItsListIsDone() {
        List<RunId> runs = runs(2 * LIMIT);
        advance(200);
        runs.forEach(this::inherit);
        startMillis += 10_000;
        end(runs);
        advance(2_000);
        assertThat(found).containsExactlyElementsOf(doneRecords(runs));
    }

    @Test
    void runThatEndedWithTheEarlierIncarnationIsLostOnceTheListOfTheLaterOneIsComplete() {
        advance(200);
        RunId lost = run("lost", 0, 0, 1);
        start(lost);
        advance(1_000);
        running.clear();
        List<RunId> runs = runs(LIMIT + 1);
        runs.forEach(this::inherit);
        startMillis += 10_000;
        end(runs);
        advance(2_000);
        assertThat(found)
                .containsAll(doneRecords(runs))
                .contains(new RecordTermination(lost, TerminalStatus.HOST_LOST, ""))
                .hasSize(LIMIT + 2);
    }

    private boolean startsAnswered = true;

    private boolean commitsHeldBack;

    private final List<RunId> stops = new ArrayList<>();

    private static List<RunId> runs(int count) {
        return IntStream.range(0, count)
                .mapToObj(index -> run("job", 0, index, 1))
                .toList();
    }

    private static List<RecordTermination> doneRecords(List<RunId> runs) {
        return runs.stream()
                .map(run -> new RecordTermination(run, TerminalStatus.DONE, ""))
                .toList();
    }

    private void inherit(RunId run) {
        session.trackInheritedRun(new ActiveRun(run, HOST, ""), false, nowNanos);
    }

    private void start(RunId run) {
        if (session.latestHeartbeat().isEmpty()) {
            sendHeartbeat();
        }
        session.trackNewRun(new ActiveRun(run, HOST, ""), "work", "", nowNanos);
        carryOutCommands();
    }

    private void sendHeartbeat() {
        Resources capacity = Resources.of(32_000, 128_000, 0);
        session.handleHeartbeat(
                new HostHeartbeat(HOST, "pool", "fd", capacity, "a", "r1", false, clockMillis(), 1, startMillis),
                nowNanos);
    }

    private void end(List<RunId> runs) {
        for (RunId run : runs) {
            long sequence = ends.isEmpty() ? 1 : ends.lastKey() + 1;
            running.removeIf(reported -> reported.run().equals(run));
            ends.put(sequence, new ReportedTermination(sequence, run, TerminalStatus.DONE, ""));
        }
    }

    private void advance(long millis) {
        for (long passed = 0; passed < millis; passed += 10) {
            nowNanos += Duration.ofMillis(10).toNanos();
            carryOutCommands();
        }
    }

    private void carryOutCommands() {
        for (HostCommand command : session.takeDueCommands(nowNanos)) {
            List<RecordTermination> proven = session.handleResponse(command, nowNanos, respond(command), nowNanos);
            found.addAll(proven);
        }
        if (!commitsHeldBack) {
            found.forEach(termination -> session.onTerminationCommitted(termination.run(), termination.status()));
        }
    }

    private HostResponse respond(HostCommand command) {
        return switch (command) {
            case HostCommand.Poll poll -> {
                ends.headMap(poll.acknowledgedThrough(), true).clear();
                List<ReportedTermination> listed =
                        ends.values().stream().limit(LIMIT).toList();
                yield new PollResult(clockMillis(), running, listed, startMillis);
            }
            case HostCommand.Stop stop -> {
                stops.add(stop.run());
                yield new Accepted(clockMillis());
            }
            case HostCommand.Start start -> {
                running.add(new ReportedRun(start.run().run(), "", 10, 0));
                yield startsAnswered ? new Accepted(clockMillis()) : new NoResponse("lost");
            }
            default -> new Accepted(clockMillis());
        };
    }

    private long clockMillis() {
        return 1_000_000 + Duration.ofNanos(nowNanos).toMillis();
    }
}
