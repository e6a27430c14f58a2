package org.nettlering.domain.upstream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.ReentrantLock;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.time.TimeSource;

/**
 * The upstreams that one entry knows.
 *
 * <p>An announcement is used for {@link #ANNOUNCEMENT_LIFETIME} after the upstream made it, and not a moment longer: an upstream that
 * vanished, or that this entry is cut off from, drops out without a message. The newest incarnation and sequence stay
 * known for {@link #SEQUENCE_RETENTION} after that, so that a delayed announcement does not bring an upstream back. Thread-safe; the
 * state is split by service, each shard under its own lock.
 */
public final class UpstreamDirectory {
    /** How long an announcement is used; less than the 3 seconds after which a leaving upstream gets no request. */
    public static final Duration ANNOUNCEMENT_LIFETIME = Duration.ofMillis(2_500);

    /** How long the newest sequence of an instance that no longer announces itself is remembered. */
    public static final Duration SEQUENCE_RETENTION = Duration.ofMinutes(10);

    /** How many instances one directory holds. */
    public static final int MAXIMUM_INSTANCES = 65_536;

    private static final int SHARDS = 16;

    /** The clock. */
    private final TimeSource time;

    /** The shards, by the hash of the service. */
    private final Shard[] shards = new Shard[SHARDS];

    /** Grows with each announcement that was received directly. */
    private final AtomicLong version = new AtomicLong();

    /**
     * Creates an empty directory.
     *
     * @param time the clock, not null
     * @return a new directory, never null
     */
    public static UpstreamDirectory create(TimeSource time) {
        return new UpstreamDirectory(time);
    }

    private UpstreamDirectory(TimeSource time) {
        this.time = time;
        for (int index = 0; index < SHARDS; index++) {
            shards[index] = new Shard();
        }
    }

    /**
     * Returns the serving upstreams of a service whose announcements are fresh.
     *
     * @param service the name of the service, not null
     * @return the upstreams in the order of their instance names, never null
     */
    public List<UpstreamAnnouncement> serving(String service) {
        return shard(service).serving(service, time.nanoTime());
    }

    /**
     * Returns what this entry received directly after a version.
     *
     * @param knownVersion the version of the last call, or zero for everything
     * @return the announcements that are still fresh, and the version now, never null
     */
    public DirectoryChanges changesSince(long knownVersion) {
        long now = time.nanoTime();
        long current = version.get();
        List<AgedAnnouncement> changes = new ArrayList<>();
        for (Shard shard : shards) {
            shard.collectChanges(knownVersion, now, changes);
        }
        return new DirectoryChanges(current, changes);
    }

    /**
     * Takes an announcement that an upstream sent to this entry.
     *
     * @param announcement the announcement, not null
     * @return what was done with it, never null
     */
    public AnnouncementResult acceptDirect(UpstreamAnnouncement announcement) {
        return shard(announcement.service()).accept(announcement, time.nanoTime(), version);
    }

    /**
     * Takes an announcement that a peer passed on.
     *
     * @param aged the announcement and its age, not null
     * @return what was done with it, never null
     */
    public AnnouncementResult acceptFromPeer(AgedAnnouncement aged) {
        if (aged.age().compareTo(ANNOUNCEMENT_LIFETIME) >= 0) {
            return AnnouncementResult.EXPIRED;
        }
        long announcedNanos = time.nanoTime() - aged.age().toNanos();
        return shard(aged.announcement().service()).accept(aged.announcement(), announcedNanos, null);
    }

    /** Forgets the instances that have been silent for {@link #SEQUENCE_RETENTION}. */
    public void removeExpired() {
        long now = time.nanoTime();
        for (Shard shard : shards) {
            shard.removeExpired(now);
        }
    }

    private Shard shard(String service) {
        return shards[Math.floorMod(service.hashCode(), SHARDS)];
    }

    private record DirectoryEntry(UpstreamAnnouncement announcement, long announcedNanos, long directVersion) {
        boolean isFresh(long now) {
            return now - announcedNanos < ANNOUNCEMENT_LIFETIME.toNanos();
        }
    }

    private static final class Shard {
        private static final Comparator<UpstreamAnnouncement> BY_INSTANCE =
                Comparator.comparing(UpstreamAnnouncement::instance);

        /** Guards the map. */
        private final ReentrantLock lock = new ReentrantLock();

        /** What is known, by service and instance. */
        private final Map<String, Map<String, DirectoryEntry>> services = new HashMap<>();

        /** How many instances the shard holds. */
        private int instances;

        AnnouncementResult accept(
                UpstreamAnnouncement announcement, long announcedNanos, @Nullable AtomicLong version) {
            lock.lock();
            try {
                Map<String, DirectoryEntry> entries =
                        services.computeIfAbsent(announcement.service(), name -> new HashMap<>());
                DirectoryEntry previous = entries.get(announcement.instance());
                if (previous != null && !announcement.isNewerThan(previous.announcement())) {
                    return AnnouncementResult.SUPERSEDED;
                }
                if (previous == null && instances >= MAXIMUM_INSTANCES / SHARDS) {
                    return AnnouncementResult.FULL;
                }
                if (previous == null) {
                    instances++;
                }
                long directVersion = version == null ? 0L : version.incrementAndGet();
                entries.put(announcement.instance(), new DirectoryEntry(announcement, announcedNanos, directVersion));
                return AnnouncementResult.ACCEPTED;
            } finally {
                lock.unlock();
            }
        }

        List<UpstreamAnnouncement> serving(String service, long now) {
            lock.lock();
            try {
                return services.getOrDefault(service, Map.of()).values().stream()
                        .filter(entries -> entries.isFresh(now))
                        .map(DirectoryEntry::announcement)
                        .filter(announcement -> announcement.state() == UpstreamState.SERVING)
                        .sorted(BY_INSTANCE)
                        .toList();
            } finally {
                lock.unlock();
            }
        }

        void collectChanges(long knownVersion, long now, List<AgedAnnouncement> changes) {
            lock.lock();
            try {
                services.values().stream()
                        .flatMap(entries -> entries.values().stream())
                        .filter(entries -> entries.directVersion() > knownVersion && entries.isFresh(now))
                        .map(entries -> new AgedAnnouncement(
                                entries.announcement(), Duration.ofNanos(now - entries.announcedNanos())))
                        .forEach(changes::add);
            } finally {
                lock.unlock();
            }
        }

        void removeExpired(long now) {
            lock.lock();
            try {
                for (Map<String, DirectoryEntry> entries : services.values()) {
                    int before = entries.size();
                    entries.values()
                            .removeIf(instance -> now - instance.announcedNanos() >= SEQUENCE_RETENTION.toNanos());
                    instances -= before - entries.size();
                }
                services.values().removeIf(Map::isEmpty);
            } finally {
                lock.unlock();
            }
        }
    }
}
