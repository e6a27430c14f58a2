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
import org.nettlering.domain.time.TimeMark;
import org.nettlering.domain.time.TimeSource;

/**
 * The upstreams that one entry knows from their announcements.
 *
 * <p>An announcement expires {@link #ANNOUNCEMENT_LIFETIME} after the upstream made it, so that an upstream that
 * failed, or that is partitioned from this entry, is removed without a message; a suspension of this host counts. The newest incarnation and sequence are
 * retained until the announcement is {@link #SEQUENCE_RETENTION} old, so that a delayed announcement does not restore
 * an upstream. Thread-safe: the state is sharded by service, and each shard has its own lock.
 */
public final class UpstreamDirectory {
    /** How long an announcement is valid; less than the 3 seconds after which a leaving upstream gets no requests. */
    public static final Duration ANNOUNCEMENT_LIFETIME = Duration.ofMillis(2_500);

    /** How long the newest sequence of an instance that no longer announces itself is retained. */
    public static final Duration SEQUENCE_RETENTION = Duration.ofMinutes(10);

    /** The maximum number of instances in a directory. */
    public static final int MAXIMUM_INSTANCES = 65_536;

    private static final int SHARDS = 16;

    private final TimeSource time;

    private final Shard[] shards = new Shard[SHARDS];

    /** Incremented for each announcement that was received directly from an upstream. */
    private final AtomicLong version = new AtomicLong();

    /**
     * Creates an empty directory.
     *
     * @param time the source of monotonic time, not null
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
     * Returns the serving upstreams of a service whose announcements have not expired.
     *
     * @param service the name of the service, not null
     * @return the upstreams, ordered by name of the instance, never null
     */
    public List<UpstreamAnnouncement> serving(String service) {
        return shard(service).serving(service, time);
    }

    /**
     * Returns the announcements that this entry received directly after a given version.
     *
     * @param knownVersion the version that the previous call returned, or zero for all announcements
     * @return the announcements that have not expired, and the current version, never null
     */
    public DirectoryChanges changesSince(long knownVersion) {
        long current = version.get();
        List<AgedAnnouncement> changes = new ArrayList<>();
        for (Shard shard : shards) {
            shard.collectChanges(knownVersion, time, changes);
        }
        return new DirectoryChanges(current, changes);
    }

    /**
     * Adds an announcement that an upstream sent to this entry.
     *
     * @param announcement the announcement, not null
     * @return the result, never null
     */
    public AnnouncementResult acceptDirect(UpstreamAnnouncement announcement) {
        return shard(announcement.service()).accept(announcement, TimeMark.now(time), version);
    }

    /**
     * Adds an announcement that a peer forwarded.
     *
     * @param aged the announcement and its age, not null
     * @return the result, never null
     */
    public AnnouncementResult acceptFromPeer(AgedAnnouncement aged) {
        if (aged.age().compareTo(ANNOUNCEMENT_LIFETIME) >= 0) {
            return AnnouncementResult.EXPIRED;
        }
        TimeMark announcedAt = TimeMark.now(time).before(aged.age());
        return shard(aged.announcement().service()).accept(aged.announcement(), announcedAt, null);
    }

    /** Removes the instances whose newest announcement is at least {@link #SEQUENCE_RETENTION} old. */
    public void removeExpired() {
        for (Shard shard : shards) {
            shard.removeExpired(time);
        }
    }

    private Shard shard(String service) {
        return shards[Math.floorMod(service.hashCode(), SHARDS)];
    }

    /** The newest announcement of an instance; the direct version is zero if a peer forwarded the announcement. */
    private record DirectoryEntry(UpstreamAnnouncement announcement, TimeMark announcedAt, long directVersion) {
        boolean isFresh(TimeSource time) {
            return announcedAt.isWithin(ANNOUNCEMENT_LIFETIME, time);
        }
    }

    private static final class Shard {
        private static final Comparator<UpstreamAnnouncement> BY_INSTANCE =
                Comparator.comparing(UpstreamAnnouncement::instance);

        /** Guards the fields below. */
        private final ReentrantLock lock = new ReentrantLock();

        /** The entries by name of the service and name of the instance. */
        private final Map<String, Map<String, DirectoryEntry>> services = new HashMap<>();

        /** The number of instances of all services in this shard. */
        private int instances;

        AnnouncementResult accept(
                UpstreamAnnouncement announcement, TimeMark announcedAt, @Nullable AtomicLong version) {
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
                entries.put(announcement.instance(), new DirectoryEntry(announcement, announcedAt, directVersion));
                return AnnouncementResult.ACCEPTED;
            } finally {
                lock.unlock();
            }
        }

        List<UpstreamAnnouncement> serving(String service, TimeSource time) {
            lock.lock();
            try {
                return services.getOrDefault(service, Map.of()).values().stream()
                        .filter(entry -> entry.isFresh(time))
                        .map(DirectoryEntry::announcement)
                        .filter(announcement -> announcement.state() == UpstreamState.SERVING)
                        .sorted(BY_INSTANCE)
                        .toList();
            } finally {
                lock.unlock();
            }
        }

        void collectChanges(long knownVersion, TimeSource time, List<AgedAnnouncement> changes) {
            lock.lock();
            try {
                services.values().stream()
                        .flatMap(entries -> entries.values().stream())
                        .filter(entry -> entry.directVersion() > knownVersion && entry.isFresh(time))
                        .map(entry -> new AgedAnnouncement(
                                entry.announcement(), entry.announcedAt().elapsed(time)))
                        .forEach(changes::add);
            } finally {
                lock.unlock();
            }
        }

        void removeExpired(TimeSource time) {
            lock.lock();
            try {
                for (Map<String, DirectoryEntry> entries : services.values()) {
                    int before = entries.size();
                    entries.values().removeIf(entry -> !entry.announcedAt().isWithinSteady(SEQUENCE_RETENTION, time));
                    instances -= before - entries.size();
                }
                services.values().removeIf(Map::isEmpty);
            } finally {
                lock.unlock();
            }
        }
    }
}
