package org.nettlering.wire.transport;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.transport.link.PeerLink;

/**
 * Another process of the system, over one TCP connection that is made at first use and replaced when it fails or goes
 * silent.
 *
 * <p>Made by {@link PeerNetwork#peer}. Thread-safe; the returned stages complete on the network's threads, which must not
 * be blocked.
 */
public final class NettyPeer implements Peer, AutoCloseable {
    /** The id of the peer, empty if any process will do. */
    private final String id;

    /** The address of the peer. */
    private final InetSocketAddress address;

    /** The state of the connection. */
    private final PeerLink link;

    NettyPeer(String id, InetSocketAddress address, PeerLink link) {
        this.id = id;
        this.address = address;
        this.link = link;
    }

    /**
     * Returns the id of the peer.
     *
     * @return the id, empty if any process will do, never null
     */
    public String id() {
        return id;
    }

    /**
     * Returns the address of the peer.
     *
     * @return the address, never null
     */
    public InetSocketAddress address() {
        return address;
    }

    /**
     * Tells whether a call would be written at once.
     *
     * @return true when the handshake of the current connection is done
     */
    public boolean isConnected() {
        return link.isOpen();
    }

    @Override
    public CompletionStage<Frame> call(Frame request, Duration timeout) {
        return link.call(request, timeout);
    }

    @Override
    public void send(Frame message) {
        link.send(message);
    }

    /** Closes the connection for good. */
    @Override
    public void close() {
        link.close();
    }
}
