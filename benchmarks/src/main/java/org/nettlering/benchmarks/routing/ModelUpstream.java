package org.nettlering.benchmarks.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.domain.upstream.UpstreamAddress;

/** One instance: eight slots and a queue in front of them that no entry sees. */
final class ModelUpstream {

    /** The clock, which is also the queue of events. */
    private final ManualTime time;

    /** What the run is about. */
    private final ModelSettings settings;

    /** The number of the instance. */
    private final int number;

    /** Counts. */
    private final ModelReport report;

    /** Requests that wait for a slot. */
    private final ArrayDeque<Runnable> queue = new ArrayDeque<>();

    /** Slots that are busy. */
    private int busy;

    ModelUpstream(ManualTime time, ModelSettings settings, int number, ModelReport report) {
        this.time = time;
        this.settings = settings;
        this.number = number;

        this.report = report;
    }

    UpstreamAddress address() {
        return new UpstreamAddress("127.0.0.1", 10_000 + number);
    }

    int number() {
        return number;
    }

    boolean isDown() {
        return settings.scenario().isDown(number);
    }

    /** Takes a request; the answer leaves when it has run, and is told for how long it ran. */
    void receive(double work, Consumer<Duration> answer) {
        report.reach(busy < ModelSettings.SLOTS);
        if (busy < ModelSettings.SLOTS) {
            run(work, answer);
            return;
        }
        queue.add(() -> run(work, answer));
    }

    private void run(double work, Consumer<Duration> answer) {
        busy++;
        Duration serviceTime = serviceTime(work);
        time.schedule(serviceTime, () -> {
            busy--;
            answer.accept(serviceTime);
            Runnable next = queue.poll();
            if (next != null) {
                next.run();
            }
        });
    }

    private Duration serviceTime(double work) {
        int slowness = settings.scenario().slowness(number, Duration.ofNanos(time.nanoTime()), settings.duration());
        return Duration.ofNanos((long) (ModelSettings.MEAN_SERVICE_TIME.toNanos() * work * slowness));
    }
}
