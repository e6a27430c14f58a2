package org.nettlering.benchmarks.capacity;

import io.vertx.core.Future;
import io.vertx.core.net.SocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.nettlering.standins.http.Addresses;
import org.nettlering.standins.http.JsonClient;
import org.nettlering.standins.site.LocalSite;
import org.nettlering.standins.site.Waiting;
import org.nettlering.standins.upstream.UpstreamIdentity;
import org.nettlering.wire.proto.RequestProto.UpstreamState;

/**
 * Many upstreams that only announce themselves, to one entry.
 *
 * <p>Not thread-safe.
 */
final class SimulatedUpstreams {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final Duration INTERVAL = Duration.ofSeconds(1);
    private static final String SERVICE = "announced-only";
    private static final int SLOTS = 8;
    private static final int CONNECTIONS = 60;

    /** Sends the announcements. */
    private final JsonClient client;

    /** The entry that takes them. */
    private final SocketAddress entry;

    /** Who is announced. */
    private final List<UpstreamIdentity> identities = new ArrayList<>();

    /** The number of the last round. */
    private long sequence;

    static SimulatedUpstreams of(LocalSite site, int count) {
        return new SimulatedUpstreams(site, count);
    }

    private SimulatedUpstreams(LocalSite site, int count) {
        this.client = JsonClient.create(site.vertx(), TIMEOUT);
        this.entry = Addresses.parse(site.entries().getFirst().platform());
        for (int number = 0; number < count; number++) {
            String address = "127.0.0.1:" + (20_000 + number);
            identities.add(
                    new UpstreamIdentity(SERVICE, "upstream-" + number, address, SLOTS, CONNECTIONS, "domain-1", 1));
        }
    }

    /** Announces every upstream once a second and returns the number of announcements that were taken. */
    long announce(int rounds) {
        long taken = 0;
        for (int round = 0; round < rounds; round++) {
            long startNanos = System.nanoTime();
            sequence++;
            List<Future<String>> answers = identities.stream()
                    .map(identity -> client.post(
                            entry, "/v1/announcements", identity.announcement(sequence, UpstreamState.SERVING)))
                    .toList();
            Future.join(answers).otherwiseEmpty().await();
            taken += answers.stream().filter(Future::succeeded).count();
            Waiting.pause(INTERVAL.minusNanos(System.nanoTime() - startNanos));
        }
        return taken;
    }
}
