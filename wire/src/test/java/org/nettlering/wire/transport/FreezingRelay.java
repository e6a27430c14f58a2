package org.nettlering.wire.transport;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

/** Passes TCP connections on, and can lose track of the open ones: they swallow everything, while new ones work. */
final class FreezingRelay implements AutoCloseable {
    private static final int BUFFER_BYTES = 8192;

    private final InetSocketAddress target;
    private final ServerSocket listener;
    private final List<AtomicBoolean> frozenFlags = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();

    FreezingRelay(InetSocketAddress target) {
        this.target = target;
        try {
            listener = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        Thread.ofVirtual().start(this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    int connections() {
        return frozenFlags.size();
    }

    void freezeOpenConnections() {
        frozenFlags.forEach(flag -> flag.set(true));
    }

    @Override
    public void close() {
        try {
            listener.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket near = listener.accept();
                Socket far = new Socket(target.getAddress(), target.getPort());
                AtomicBoolean frozen = new AtomicBoolean();
                sockets.addAll(List.of(near, far));
                frozenFlags.add(frozen);
                Thread.ofVirtual().start(() -> pump(near, far, frozen));
                Thread.ofVirtual().start(() -> pump(far, near, frozen));
            }
        } catch (IOException exception) {
            // The relay was closed.
        }
    }

    private static void pump(Socket from, Socket to, AtomicBoolean frozen) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                if (!frozen.get()) {
                    out.write(buffer, 0, read);
                }
            }
            if (!frozen.get()) {
                to.close();
            }
        } catch (IOException exception) {
            // One of the sockets was closed.
        }
    }
}
