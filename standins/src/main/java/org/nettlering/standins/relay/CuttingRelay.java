package org.nettlering.standins.relay;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.nettlering.domain.time.TimeSource;

/**
 * A TCP relay that injects faults between two processes.
 *
 * <p>It connects each accepted connection to the target and passes bytes on in both directions, as its
 * {@link RelayFault} says. A fault applies to open and to new connections, except {@link RelayFault.NoResponse}, which leaves
 * new connections alone. Thread-safe.
 */
public final class CuttingRelay {
    /** Accepts connections. */
    private final NetServer server;

    /** Connects to the target. */
    private final NetClient client;

    /** Where the connections lead. */
    private final SocketAddress target;

    /** Delays bytes. */
    private final TimeSource time;

    /** The open pairs of connections. */
    private final Set<Link> links = ConcurrentHashMap.newKeySet();

    /** The present fault. */
    private volatile RelayFault fault = new RelayFault.None();

    /**
     * Creates a relay that is not listening yet.
     *
     * @param vertx the event loops to use, not null
     * @param time the clock for delays, not null
     * @param target where the connections lead, not null
     * @return a new relay, never null
     */
    public static CuttingRelay create(Vertx vertx, TimeSource time, SocketAddress target) {
        return new CuttingRelay(vertx, time, target);
    }

    private CuttingRelay(Vertx vertx, TimeSource time, SocketAddress target) {
        this.server = vertx.createNetServer().connectHandler(this::accept);
        this.client = vertx.createNetClient();
        this.target = target;
        this.time = time;
    }

    /**
     * Starts to listen.
     *
     * @param address where, not null
     * @return the port, never null
     */
    public Future<Integer> listen(SocketAddress address) {
        return server.listen(address).map(NetServer::actualPort);
    }

    /**
     * Changes the fault.
     *
     * @param newFault what happens to the connections from now on, not null
     */
    public void inject(RelayFault newFault) {
        fault = newFault;
        if (!(newFault instanceof RelayFault.Freeze)) {
            links.forEach(Link::thaw);
        }
        switch (newFault) {
            case RelayFault.Freeze freeze -> links.forEach(Link::freeze);
            case RelayFault.Cut cut -> links.forEach(Link::close);
            case RelayFault.Silent silent -> links.forEach(Link::silence);
            case RelayFault.None none -> {}
            case RelayFault.Delay delay -> {}
            case RelayFault.BlackHole blackHole -> {}
        }
    }

    /**
     * Returns the number of open connections.
     *
     * @return zero or more
     */
    public int openConnections() {
        return links.size();
    }

    private void accept(NetSocket near) {
        if (fault instanceof RelayFault.Cut) {
            close(near);
            return;
        }
        near.pause();
        client.connect(target).onComplete(connected -> {
            if (connected.failed()) {
                close(near);
                return;
            }
            Link link = new Link(near, connected.result());
            links.add(link);
            link.open();
        });
    }

    private static void close(NetSocket socket) {
        socket.close();
    }

    /** One accepted connection and the one to the target. */
    private final class Link {
        /** The accepted connection. */
        private final NetSocket near;

        /** The connection to the target. */
        private final NetSocket far;

        /** Whether every byte is swallowed for good. */
        private volatile boolean silent;

        Link(NetSocket near, NetSocket far) {
            this.near = near;
            this.far = far;
        }

        void open() {
            join(near, far);
            join(far, near);
            if (fault instanceof RelayFault.Freeze) {
                freeze();
                return;
            }
            thaw();
        }

        void freeze() {
            near.pause();
            far.pause();
        }

        void thaw() {
            near.resume();
            far.resume();
        }

        void silence() {
            silent = true;
        }

        void close() {
            links.remove(this);
            CuttingRelay.close(near);
            CuttingRelay.close(far);
        }

        private void join(NetSocket from, NetSocket to) {
            from.handler(bytes -> pass(bytes, from, to));
            from.closeHandler(closed -> closeUnlessSilent());
            from.exceptionHandler(failure -> closeUnlessSilent());
        }

        private void closeUnlessSilent() {
            boolean swallowed = silent || fault instanceof RelayFault.BlackHole;
            if (!swallowed) {
                close();
            }
        }

        private void pass(Buffer bytes, NetSocket from, NetSocket to) {
            if (silent) {
                return;
            }
            switch (fault) {
                case RelayFault.None none -> write(bytes, from, to);
                case RelayFault.Silent others -> write(bytes, from, to);
                case RelayFault.Freeze freeze -> write(bytes, from, to);
                case RelayFault.Delay delay ->
                    time.schedule(Duration.ofMillis(delay.millis()), () -> write(bytes, from, to));
                case RelayFault.BlackHole blackHole -> {}
                case RelayFault.Cut cut -> close();
            }
        }

        private void write(Buffer bytes, NetSocket from, NetSocket to) {
            to.write(bytes);
            if (to.writeQueueFull()) {
                from.pause();
                to.drainHandler(drained -> resumeUnlessFrozen(from));
            }
        }

        private void resumeUnlessFrozen(NetSocket from) {
            if (!(fault instanceof RelayFault.Freeze)) {
                from.resume();
            }
        }
    }
}
