package org.nettlering.wire.transport;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.wire.proto.FrameProto.Hello;
import org.nettlering.wire.transport.link.PeerLink;
import org.nettlering.wire.transport.netty.NettyDialer;
import org.nettlering.wire.transport.netty.NettyServer;

/**
 * The connections of one process to the others of its cluster.
 *
 * <p>A process makes one network, listens on it and takes its peers from it:
 *
 * <pre>{@code
 * try (PeerNetwork network = PeerNetwork.create(identity, TransportLimits.defaults(), time)) {
 *     NettyPeerServer server = network.listen(address, handler);
 *     Peer peer = network.peer("control-2", otherAddress);
 * }
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class PeerNetwork implements AutoCloseable {
    private static final int THREADS = 2;

    private static final int STOP_TIMEOUT_SECONDS = 5;

    /** Who this process is. */
    private final ClusterIdentity identity;

    /** The bounds and periods. */
    private final TransportLimits limits;

    /** Sets the timers. */
    private final TimeSource time;

    /** Counts what goes wrong. */
    private final TransportCounters counters;

    /** Runs the connections. */
    private final EventLoopGroup group;

    /**
     * Creates a network with threads of its own.
     *
     * @param identity who this process is, not null
     * @param limits the bounds and periods, not null
     * @param time sets the timers, not null
     * @return a new network, never null
     */
    public static PeerNetwork create(ClusterIdentity identity, TransportLimits limits, TimeSource time) {
        return create(identity, limits, time, TransportCounters.unread());
    }

    /**
     * Creates a network with threads of its own, and counts what goes wrong on its connections.
     *
     * @param identity who this process is, not null
     * @param limits the bounds and periods, not null
     * @param time sets the timers, not null
     * @param counters counts what goes wrong, not null
     * @return a new network, never null
     */
    public static PeerNetwork create(
            ClusterIdentity identity, TransportLimits limits, TimeSource time, TransportCounters counters) {
        return new PeerNetwork(identity, limits, time, counters);
    }

    private PeerNetwork(ClusterIdentity identity, TransportLimits limits, TimeSource time, TransportCounters counters) {
        this.counters = counters;
        this.identity = identity;
        this.limits = limits;
        this.time = time;
        group = new MultiThreadIoEventLoopGroup(
                THREADS, new DefaultThreadFactory("peer-network", true), NioIoHandler.newFactory());
    }

    /**
     * Listens for other processes.
     *
     * @param address where to listen; port 0 takes any free one, not null
     * @param handler answers the requests, not null
     * @return the server, never null
     * @throws org.nettlering.domain.error.NettleringException with {@code INVALID_SETTINGS} if the address cannot be bound
     */
    public NettyPeerServer listen(InetSocketAddress address, FrameHandler handler) {
        return new NettyPeerServer(new NettyServer(group, address, identity, limits, handler, time));
    }

    /**
     * Returns a new peer; nothing is connected before its first use.
     *
     * @param id the id that the process must have, or empty if any will do, not null
     * @param address where the process listens, not null
     * @return the peer, never null
     */
    public NettyPeer peer(String id, InetSocketAddress address) {
        Hello hello = Hello.newBuilder()
                .setClusterId(identity.clusterId())
                .setProtocolVersion(PeerLink.PROTOCOL_VERSION)
                .setProcessId(identity.processId())
                .setFailureDomain(identity.failureDomain())
                .build();
        PeerLink link = new PeerLink(
                hello,
                id,
                new NettyDialer(group, address, limits),
                time,
                () -> ThreadLocalRandom.current().nextDouble(),
                limits,
                new LoggingLinkListener(id, address, counters));
        return new NettyPeer(id, address, link);
    }

    /** Closes every connection and stops the threads. */
    @Override
    public void close() {
        group.shutdownGracefully(0, STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
