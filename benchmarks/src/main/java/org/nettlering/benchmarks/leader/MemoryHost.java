package org.nettlering.benchmarks.leader;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostHeartbeat;
import org.nettlering.domain.workflow.host.HostResponse;
import org.nettlering.domain.workflow.host.HostResponse.ReportedRun;
import org.nettlering.domain.workflow.host.HostResponse.ReportedTermination;

/**
 * A sound host: carries out every order a millisecond later, lists ends until it may forget them, and lets a look wait for
 * an end as long as it may. Not thread-safe.
 */
final class MemoryHost {
    /** How long an order takes there and back. */
    private static final Duration ROUND_TRIP = Duration.ofMillis(1);

    /** What a host offers. */
    private static final Resources CAPACITY = Resources.of(32_000, 128_000, 0);

    /** Hosts in one rack. */
    private static final int RACK = 20;

    private final ManualTime time;
    private final HostIncarnation address;
    private final int number;
    private final WorkModel work;
    private final Map<RunId, Long> running = new LinkedHashMap<>();
    private final List<ReportedTermination> ends = new ArrayList<>();
    private @Nullable CompletableFuture<HostResponse> waiting;
    private long lastEnd;
    private long sequence;

    MemoryHost(int number, ManualTime time, WorkModel work) {
        this.number = number;
        this.time = time;
        this.work = work;
        address = new HostIncarnation("host-" + number, "10.0." + number / 250 + "." + number % 250 + ":80");
    }

    HostHeartbeat report() {
        sequence++;
        return new HostHeartbeat(
                address,
                WorkModel.POOL,
                "domain-" + number % 4,
                CAPACITY,
                "a",
                "rack-" + number / RACK,
                false,
                clockMillis(),
                sequence);
    }

    int runningCount() {
        return running.size();
    }

    private long clockMillis() {
        return time.millis();
    }

    CompletionStage<HostResponse> take(HostCommand order) {
        CompletableFuture<HostResponse> answer = new CompletableFuture<>();
        time.schedule(ROUND_TRIP, () -> {
            switch (order) {
                case HostCommand.Start start -> {
                    start(start.run().run());
                    work.answer(answer, new HostResponse.Accepted(clockMillis()));
                }
                case HostCommand.Stop stop -> {
                    finish(stop.run(), TerminalStatus.STOPPED);
                    work.answer(answer, new HostResponse.Accepted(clockMillis()));
                }
                case HostCommand.Throttle pace -> work.answer(answer, new HostResponse.Accepted(clockMillis()));
                case HostCommand.Poll hold -> look(hold, answer);
            }
        });
        return answer;
    }

    private void start(RunId run) {
        running.put(run, time.nanoTime());
        work.runtime(run).ifPresent(runtime -> time.schedule(runtime, () -> finish(run, TerminalStatus.DONE)));
    }

    private void finish(RunId run, TerminalStatus how) {
        if (running.remove(run) == null) {
            return;
        }
        lastEnd++;
        ends.add(new ReportedTermination(lastEnd, run, how, ""));
        answerLook();
    }

    private void look(HostCommand.Poll hold, CompletableFuture<HostResponse> answer) {
        ends.removeIf(end -> end.sequence() <= hold.acknowledgedThrough());
        waiting = answer;
        if (hold.maxWaitMillis() == 0 || !ends.isEmpty()) {
            answerLook();
            return;
        }
        time.schedule(Duration.ofMillis(hold.maxWaitMillis()), () -> {
            if (!answer.isDone()) {
                answerLook();
            }
        });
    }

    private void answerLook() {
        CompletableFuture<HostResponse> answer = waiting;
        if (answer == null) {
            return;
        }
        waiting = null;
        List<ReportedRun> listed = new ArrayList<>();
        running.forEach((run, since) -> listed.add(work.listed(run, time.nanoTime() - since)));
        work.answer(answer, new HostResponse.PollResult(clockMillis(), listed, ends));
    }
}
