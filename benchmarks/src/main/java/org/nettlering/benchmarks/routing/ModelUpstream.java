package org.nettlering.benchmarks.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Random;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.domain.upstream.UpstreamAddress;

/** One instance: eight slots and a queue in front of them that no entry sees. */
final class ModelUpstream {
    private static final double SIGMA = 0.8;

    /** The clock, which is also the queue of events. */
    private final ManualTime time;

    /** What the run is about. */
    private final ModelSettings settings;

    /** The number of the instance. */
    private final int number;

    /** Draws service times. */
    private final Random random;

    /** Counts. */
    private final ModelReport report;

    /** Requests that wait for a slot. */
    private final ArrayDeque<Runnable> queue = new ArrayDeque<>();

    /** Slots that are busy. */
    private int busy;

    ModelUpstream(ManualTime time, ModelSettings settings, int number, Random random, ModelReport report) {
        this.time = time;
        this.settings = settings;
        this.number = number;
        this.random = random;
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

    /** Takes a request; the answer leaves when it has run. */
    void receive(Runnable answer) {
        report.reach(busy < ModelSettings.SLOTS);
        if (busy < ModelSettings.SLOTS) {
            run(answer);
            return;
        }
        queue.add(answer);
    }

    private void run(Runnable answer) {
        busy++;
        time.schedule(serviceTime(), () -> {
            busy--;
            answer.run();
            Runnable next = queue.poll();
            if (next != null) {
                run(next);
            }
        });
    }

    private Duration serviceTime() {
        double drawn = Math.exp(SIGMA * random.nextGaussian() - SIGMA * SIGMA / 2);
        int slowness = settings.scenario().slowness(number, Duration.ofNanos(time.nanoTime()), settings.duration());
        return Duration.ofNanos((long) (ModelSettings.MEAN_SERVICE_TIME.toNanos() * drawn * slowness));
    }
}
