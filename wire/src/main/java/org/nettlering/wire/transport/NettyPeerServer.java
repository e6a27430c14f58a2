package org.nettlering.wire.transport;

import java.net.InetSocketAddress;
import org.nettlering.wire.transport.netty.NettyServer;

/**
 * Listens for the other processes of the cluster.
 *
 * <p>Made by {@link PeerNetwork#listen}. Refuses processes of another cluster or protocol version, and bounds the size of
 * a frame, the connections, the pending requests and the bytes that wait for a slow caller. Thread-safe.
 */
public final class NettyPeerServer implements AutoCloseable {
    /** The listening socket and its connections. */
    private final NettyServer server;

    NettyPeerServer(NettyServer server) {
        this.server = server;
    }

    /**
     * Returns the address on which the server listens.
     *
     * @return the address with the port that was bound, never null
     */
    public InetSocketAddress address() {
        return server.address();
    }

    /**
     * Returns how many accepted connections are open.
     *
     * @return at least zero
     */
    public int openConnections() {
        return server.openConnections();
    }

    /** Stops listening and closes every connection. */
    @Override
    public void close() {
        server.close();
    }
}
