package org.nettlering.standins.site;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Loopback addresses that were free a moment ago.
 *
 * <p>All of them are bound at once and then let go, so no two are equal. Not thread-safe.
 */
final class FreePorts {
    private static final String LOOPBACK = "127.0.0.1";

    /** The addresses that were not handed out. */
    private final Deque<String> addresses;

    static FreePorts find(int count) {
        List<ServerSocket> sockets = new ArrayList<>();
        Deque<String> addresses = new ArrayDeque<>();
        try {
            for (int index = 0; index < count; index++) {
                ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                sockets.add(socket);
                addresses.add(LOOPBACK + ":" + socket.getLocalPort());
            }
            for (ServerSocket socket : sockets) {
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
}
