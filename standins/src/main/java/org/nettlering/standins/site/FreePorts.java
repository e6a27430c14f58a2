package org.nettlering.standins.site;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Loopback addresses that were free a moment ago.
 *
 * <p>The ports lie below those that the system gives to outgoing connections, so that a connection made between the choice
 * and the start of a program takes none of them. All of them are bound at once and then let go, so no two are equal. Not
 * thread-safe.
 */
final class FreePorts {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int FIRST_PORT = 10_000;
    private static final int LAST_PORT = 32_000;
    private static final int MAXIMUM_ATTEMPTS = 1_000;

    /** The addresses that were not handed out. */
    private final Deque<String> addresses;

    static FreePorts find(int count) {
        List<ServerSocket> sockets = new ArrayList<>();
        Deque<String> addresses = new ArrayDeque<>();
        try {
            for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS && sockets.size() < count; attempt++) {
                bind(ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT)).ifPresent(sockets::add);
            }
            for (ServerSocket socket : sockets) {
                addresses.add(LOOPBACK + ":" + socket.getLocalPort());
                socket.close();
            }
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        return new FreePorts(addresses);
    }

    private FreePorts(Deque<String> addresses) {
        this.addresses = addresses;
    }

    /** Returns the next address as {@code IP:PORT}. */
    String next() {
        return addresses.remove();
    }

    private static Optional<ServerSocket> bind(int port) {
        try {
            return Optional.of(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
        } catch (IOException taken) {
            return Optional.empty();
        }
    }
}
