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
import org.nettlering.domain.workflow.HostAddress;
import org.nettlering.domain.workflow.RunEnd;
import org.nettlering.domain.workflow.RunName;
import org.nettlering.domain.workflow.host.HostAnswer;
import org.nettlering.domain.workflow.host.HostAnswer.ListedEnd;
import org.nettlering.domain.workflow.host.HostAnswer.ListedRun;
import org.nettlering.domain.workflow.host.HostOrder;
import org.nettlering.domain.workflow.host.HostReport;

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
    private final HostAddress address;
    private final int number;
    private final WorkModel work;
    private final Map<RunName, Long> running = new LinkedHashMap<>();
    private final List<ListedEnd> ends = new ArrayList<>();
    private @Nullable CompletableFuture<HostAnswer> waiting;
    private long lastEnd;
    private long sequence;

    MemoryHost(int number, ManualTime time, WorkModel work) {
        this.number = number;
        this.time = time;
        this.work = work;
        address = new HostAddress("host-" + number, "10.0." + number / 250 + "." + number % 250 + ":80");
    }

    HostReport report() {
        sequence++;
        return new HostReport(
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

    CompletionStage<HostAnswer> take(HostOrder order) {
        CompletableFuture<HostAnswer> answer = new CompletableFuture<>();
        time.schedule(ROUND_TRIP, () -> {
            switch (order) {
                case HostOrder.Start start -> {
                    start(start.run().run());
                    work.answer(answer, new HostAnswer.Accepted(clockMillis()));
                }
                case HostOrder.Stop stop -> {
                    finish(stop.run(), RunEnd.STOPPED);
                    work.answer(answer, new HostAnswer.Accepted(clockMillis()));
                }
                case HostOrder.Pace pace -> work.answer(answer, new HostAnswer.Accepted(clockMillis()));
                case HostOrder.Hold hold -> look(hold, answer);
            }
        });
        return answer;
    }

    private void start(RunName run) {
        running.put(run, time.nanoTime());
        work.runtime(run).ifPresent(runtime -> time.schedule(runtime, () -> finish(run, RunEnd.DONE)));
    }

    private void finish(RunName run, RunEnd how) {
        if (running.remove(run) == null) {
            return;
        }
        lastEnd++;
        ends.add(new ListedEnd(lastEnd, run, how, ""));
        answerLook();
    }

    private void look(HostOrder.Hold hold, CompletableFuture<HostAnswer> answer) {
        ends.removeIf(end -> end.number() <= hold.noted());
        waiting = answer;
        if (hold.waitMillis() == 0 || !ends.isEmpty()) {
            answerLook();
            return;
        }
        time.schedule(Duration.ofMillis(hold.waitMillis()), () -> {
            if (!answer.isDone()) {
                answerLook();
            }
        });
    }

    private void answerLook() {
        CompletableFuture<HostAnswer> answer = waiting;
        if (answer == null) {
            return;
        }
        waiting = null;
        List<ListedRun> listed = new ArrayList<>();
        running.forEach((run, since) -> listed.add(work.listed(run, time.nanoTime() - since)));
        work.answer(answer, new HostAnswer.Listing(clockMillis(), listed, ends));
    }
}
