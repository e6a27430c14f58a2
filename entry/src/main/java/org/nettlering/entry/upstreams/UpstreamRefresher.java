package org.nettlering.entry.upstreams;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.nettlering.domain.admission.AdmissionController;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.domain.upstream.UpstreamAddress;
import org.nettlering.domain.upstream.UpstreamAnnouncement;
import org.nettlering.domain.upstream.UpstreamDirectory;

/**
 * Keeps the admission control up to date with the directory and the clock.
 *
 * <p>Runs every {@link #INTERVAL}. Thread-safe.
 */
public final class UpstreamRefresher {
    /** How often the waiting requests and the upstreams are looked at. */
    public static final Duration INTERVAL = Duration.ofMillis(20);

    private static final int ROUNDS_BETWEEN_EXPIRY = 3_000;

    /** The names of the configured services. */
    private final Supplier<Set<String>> services;

    /** What upstreams say. */
    private final UpstreamDirectory directory;

    /** Decides who runs. */
    private final AdmissionController<SlotRequest> admission;

    /** Carries the decisions out. */
    private final SlotAllocator slotAllocator;

    /** The connections. */
    private final UpstreamPools pools;

    /** The clock. */
    private final TimeSource time;

    /** True while the refresher runs. */
    private volatile boolean running;

    /** The services of the last round; used by one round at a time. */
    private volatile Set<String> previousServices = Set.of();

    /**
     * Creates a refresher that does not run yet.
     *
     * @param services the names of the configured services, not null
     * @param directory what upstreams say, not null
     * @param admission decides who runs, not null
     * @param slotAllocator carries the decisions out, not null
     * @param pools the connections, not null
     * @param time the clock, not null
     */
    public UpstreamRefresher(
            Supplier<Set<String>> services,
            UpstreamDirectory directory,
            AdmissionController<SlotRequest> admission,
            SlotAllocator slotAllocator,
            UpstreamPools pools,
            TimeSource time) {
        this.services = services;
        this.directory = directory;
        this.admission = admission;
        this.slotAllocator = slotAllocator;
        this.pools = pools;
        this.time = time;
    }

    /** Starts to run. */
    public void start() {
        running = true;
        round(0);
    }

    /** Stops. */
    public void stop() {
        running = false;
    }

    private void round(int number) {
        if (!running) {
            return;
        }
        refreshUpstreams();
        slotAllocator.reevaluateQueues();
        if (number == ROUNDS_BETWEEN_EXPIRY) {
            directory.removeExpired();
        }
        time.schedule(INTERVAL, () -> round(number == ROUNDS_BETWEEN_EXPIRY ? 0 : number + 1));
    }

    private void refreshUpstreams() {
        Set<String> names = services.get();
        Set<UpstreamAddress> knownUpstreams = new HashSet<>();
        for (String service : names) {
            List<UpstreamAnnouncement> announcements = directory.serving(service);
            announcements.forEach(announcement -> knownUpstreams.add(announcement.address()));
            slotAllocator.apply(admission.setUpstreams(service, announcements));
        }
        for (String service : previousServices) {
            if (!names.contains(service)) {
                slotAllocator.apply(admission.setUpstreams(service, List.of()));
            }
        }
        previousServices = names;
        pools.retain(knownUpstreams);
    }
}
