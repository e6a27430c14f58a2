package org.nettlering.benchmarks.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.domain.upstream.UpstreamAddress;
import org.nettlering.domain.upstream.UpstreamAnnouncement;
import org.nettlering.domain.upstream.UpstreamState;

/**
 * A seeded, discrete-event model of entries that share instances.
 *
 * <p>Runs the real admission control, router, slot table and retry policy; only messages, instances and callers are
 * modelled. The same settings give the same report. Not thread-safe.
 */
public final class RoutingModel {
    private static final Duration REFRESH_INTERVAL = Duration.ofMillis(20);
    private static final Duration SETTLING = Duration.ofSeconds(20);
    private static final Duration ADVANCE_STEP = Duration.ofSeconds(1);
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double SIGMA = 0.8;

    /** What the run is about. */
    private final ModelSettings settings;

    /** The clock, which is also the queue of events. */
    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);

    /** Draws arrivals. */
    private final Random random;

    /** Counts. */
    private final ModelReport report = new ModelReport();

    /** The entries. */
    private final List<ModelEntry> entries = new ArrayList<>();

    private RoutingModel(ModelSettings settings) {
        this.settings = settings;
        random = new Random(settings.seed());
        Map<UpstreamAddress, ModelUpstream> upstreams = new LinkedHashMap<>();
        for (int number = 0; number < settings.instances(); number++) {
            ModelUpstream upstream = new ModelUpstream(time, settings, number, report);
            upstreams.put(upstream.address(), upstream);
        }
        for (int number = 0; number < ModelSettings.ENTRIES; number++) {
            entries.add(new ModelEntry(
                    "entry-" + number, settings, time, new Random(random.nextLong()), report, upstreams));
        }
        startEntries(upstreams);
    }

    /**
     * Runs the model.
     *
     * @param settings what the run is about, not null
     * @return what it measured, never null
     */
    public static ModelReport run(ModelSettings settings) {
        RoutingModel model = new RoutingModel(settings);
        model.arriveNext();
        if (settings.scenario() == Scenario.ENTRY_LOST) {
            model.time.schedule(
                    settings.duration().dividedBy(3),
                    () -> model.entries.getFirst().lose());
        }
        Duration end = settings.duration().plus(SETTLING);
        for (Duration passed = Duration.ZERO; passed.compareTo(end) < 0; passed = passed.plus(ADVANCE_STEP)) {
            model.time.advance(ADVANCE_STEP);
        }
        return model.report;
    }

    private void startEntries(Map<UpstreamAddress, ModelUpstream> upstreams) {
        List<UpstreamAnnouncement> announcements =
                upstreams.values().stream().map(RoutingModel::announcement).toList();
        List<UpstreamAddress> addresses = List.copyOf(upstreams.keySet());
        for (ModelEntry entry : entries) {
            entry.setUpstreams(announcements);
            List<ModelEntry> peers = entries.stream()
                    .filter(peer -> !peer.id().equals(entry.id()))
                    .toList();
            ModelGossip gossip = new ModelGossip(time, entry, peers, addresses, settings.policy());
            time.schedule(Duration.ofMillis(random.nextInt((int) ModelGossip.INTERVAL.toMillis())), gossip::round);
            refreshAgain(entry);
        }
    }

    private static UpstreamAnnouncement announcement(ModelUpstream upstream) {
        return new UpstreamAnnouncement(
                "any",
                "instance-" + upstream.number(),
                upstream.address(),
                ModelSettings.SLOTS,
                ModelSettings.CONNECTIONS,
                "",
                UpstreamState.SERVING,
                1,
                1);
    }

    private void refreshAgain(ModelEntry entry) {
        time.schedule(REFRESH_INTERVAL, () -> {
            entry.refresh();
            refreshAgain(entry);
        });
    }

    private void arriveNext() {
        Duration passed = Duration.ofNanos(time.nanoTime());
        if (passed.compareTo(settings.duration()) >= 0) {
            return;
        }
        double rate = settings.capacityPerSecond() * settings.scenario().load(passed, settings.duration());
        double gapNanos = -Math.log(1 - random.nextDouble()) / rate * NANOS_PER_SECOND;
        time.schedule(Duration.ofNanos((long) gapNanos), () -> {
            boolean urgent = random.nextDouble() < settings.urgentShare();
            double work = Math.exp(SIGMA * random.nextGaussian() - SIGMA * SIGMA / 2);
            aliveEntry().take(new ModelRequest(time.nanoTime(), urgent, work));
            arriveNext();
        });
    }

    private ModelEntry aliveEntry() {
        List<ModelEntry> alive = entries.stream().filter(ModelEntry::isAlive).toList();
        return alive.get(random.nextInt(alive.size()));
    }
}
