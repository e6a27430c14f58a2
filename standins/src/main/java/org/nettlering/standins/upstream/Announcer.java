package org.nettlering.standins.upstream;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.runtime.log.EventLogger;
import org.nettlering.standins.StandinEvent;
import org.nettlering.standins.http.JsonClient;
import org.nettlering.wire.proto.RequestProto.Announcement;
import org.nettlering.wire.proto.RequestProto.UpstreamState;

/**
 * Announces an upstream to one entry after the other, every second.
 *
 * <p>An entry that does not answer is passed over until its turn comes again; the announcement then goes to the next one
 * at once. Thread-safe.
 */
public final class Announcer {
    private static final Duration INTERVAL = Duration.ofSeconds(1);
    private static final Duration TIMEOUT = Duration.ofMillis(800);
    private static final String PATH = "/v1/announcements";

    private static final EventLogger LOGGER = EventLogger.of(Announcer.class);

    /** Runs the timer. */
    private final TimeSource time;

    /** Sends the announcements. */
    private final JsonClient client;

    /** The platform ports of the entries. */
    private final List<SocketAddress> entries;

    /** Who is announced. */
    private final UpstreamIdentity identity;

    /** The number of the next announcement. */
    private final AtomicLong sequence = new AtomicLong();

    /** The position of the entry that took the last announcement. */
    private volatile int preferred;

    /** What the announcements say. */
    private volatile UpstreamState state = UpstreamState.SERVING;

    /**
     * Creates an announcer that does nothing until it is started.
     *
     * @param time the clock, not null
     * @param vertx the event loops to use, not null
     * @param entries the platform ports of the entries, at least one, not null
     * @param identity who is announced, not null
     * @return a new announcer, never null
     */
    public static Announcer create(
            TimeSource time, Vertx vertx, List<SocketAddress> entries, UpstreamIdentity identity) {
        return new Announcer(time, vertx, entries, identity);
    }

    private Announcer(TimeSource time, Vertx vertx, List<SocketAddress> entries, UpstreamIdentity identity) {
        this.time = time;
        this.client = JsonClient.create(vertx, TIMEOUT);
        this.entries = List.copyOf(entries);
        this.identity = identity;
    }

    /** Starts to announce, at once and then every second. */
    public void start() {
        announce();
        time.schedule(INTERVAL, this::start);
    }

    /**
     * Announces at once, and from now on, that the upstream leaves.
     *
     * @return done when an entry has taken the announcement, never null
     */
    public Future<String> leave() {
        state = UpstreamState.LEAVING;
        return announce();
    }

    private Future<String> announce() {
        Announcement announcement = identity.announcement(sequence.incrementAndGet(), state);
        return announceTo(preferred, announcement, entries.size());
    }

    private Future<String> announceTo(int position, Announcement announcement, int remaining) {
        SocketAddress entry = entries.get(position);
        return client.post(entry, PATH, announcement).recover(failure -> {
            LOGGER.log(
                    StandinEvent.ANNOUNCEMENT_FAILED,
                    entry,
                    announcement.getInstance(),
                    String.valueOf(failure.getMessage()));
            int next = (position + 1) % entries.size();
            preferred = next;
            if (remaining <= 1) {
                return Future.failedFuture(failure);
            }
            return announceTo(next, announcement, remaining - 1);
        });
    }
}
