package org.nettlering.wire.transport;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import org.nettlering.runtime.log.EventLogger;
import org.nettlering.wire.transport.link.PeerLinkListener;

/** Logs and counts what a link does; of a run of failed attempts only the first is logged. Thread-safe. */
final class LoggingLinkListener implements PeerLinkListener {
    private static final EventLogger LOG = EventLogger.of(NettyPeer.class);

    /** The id of the peer. */
    private final String id;

    /** The address of the peer. */
    private final InetSocketAddress address;

    /** True since a failed attempt, until the next success. */
    private final AtomicBoolean failing = new AtomicBoolean();

    /** Counts what goes wrong. */
    private final TransportCounters counters;

    LoggingLinkListener(String id, InetSocketAddress address, TransportCounters counters) {
        this.id = id;
        this.address = address;
        this.counters = counters;
    }

    @Override
    public void connected() {
        failing.set(false);
        LOG.log(WireEvent.PEER_CONNECTED, id, address);
    }

    @Override
    public void disconnected(String reason) {
        LOG.log(WireEvent.PEER_DISCONNECTED, id, address, reason);
    }

    @Override
    public void unreachable(String reason) {
        counters.failedAttempt(id);
        if (!failing.getAndSet(true)) {
            LOG.log(WireEvent.PEER_UNREACHABLE, id, address, reason);
        }
    }

    @Override
    public void refused(String reason) {
        if (!failing.getAndSet(true)) {
            LOG.log(WireEvent.REFUSED_BY_PEER, id, address, reason);
        }
    }

    @Override
    public void silent(Duration quiet) {
        counters.silentConnection(id);
        LOG.log(WireEvent.SILENT_CONNECTION, id, address, quiet.toMillis());
    }

    @Override
    public void messageDropped() {
        counters.droppedMessage(id);
    }

    @Override
    public void lateResponse() {
        counters.lateResponse(id);
    }
}
