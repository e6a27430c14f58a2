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
import org.nettlering.entry.EntryEvent;
import org.nettlering.runtime.log.EventLogger;

/**
 * Periodically updates admission control from the directory of upstreams and the clock.
 *
 * <p>Each round, every {@link #INTERVAL}:
 *
 * <ul>
 *   <li>passes the announced upstreams of each configured service to admission control;
 *   <li>closes the connection pools of upstreams that are no longer announced;
 *   <li>rejects queued requests that can no longer complete before their deadlines.
 * </ul>
 *
 * <p>Thread-safe.
 */
public final class UpstreamRefresher {
    private static final EventLogger LOGGER = EventLogger.of(UpstreamRefresher.class);
    /** The interval between rounds. */
    public static final Duration INTERVAL = Duration.ofMillis(20);

    /** Expired entries of the directory are removed once in this many rounds, about once a minute. */
    private static final int ROUNDS_BETWEEN_EXPIRY = 3_000;

    private final Supplier<Set<String>> services;
    private final UpstreamDirectory directory;
    private final AdmissionController<SlotRequest> admission;
    private final SlotAllocator slotAllocator;
    private final UpstreamPools pools;
    private final TimeSource time;
    private volatile boolean running;

    /** The services of the previous round; accessed by one round at a time. */
    private volatile Set<String> previousServices = Set.of();

    /**
     * Creates a refresher without starting it.
     *
     * @param services the names of the configured services, not null
     * @param directory the announced upstreams, not null
     * @param admission the admission control, not null
     * @param slotAllocator applies the decisions of admission control, not null
     * @param pools the connection pools, not null
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

    /** Runs the first round and schedules the following ones. */
    public void start() {
        running = true;
        round(0);
    }

    /** Stops after the current round. */
    public void stop() {
        running = false;
    }

    private void round(int number) {
        if (!running) {
            return;
        }
        try {
            refreshUpstreams();
            slotAllocator.reevaluateQueues();
            if (number == ROUNDS_BETWEEN_EXPIRY) {
                directory.removeExpired();
            }
        } catch (RuntimeException exception) {
            LOGGER.log(EntryEvent.PERIODIC_TASK_FAILED, exception);
        } finally {
            time.schedule(INTERVAL, () -> round(number == ROUNDS_BETWEEN_EXPIRY ? 0 : number + 1));
        }
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
