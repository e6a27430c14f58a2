package org.nettlering.entry.testing;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

/** A caller on a raw socket, for requests and responses that a client library would not handle. */
public final class RawCaller implements AutoCloseable {
    private final Socket socket;

    public RawCaller(int port) {
        try {
            socket = new Socket(InetAddress.ofLiteral("127.0.0.1"), port);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    public RawCaller write(String text) {
        try {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            return this;
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Reads until the entry closes the connection; {@code RESET} is appended if the connection is reset. */
    public CompletableFuture<String> readToEnd() {
        CompletableFuture<String> text = new CompletableFuture<>();
        Thread.ofVirtual().start(() -> {
            StringBuilder read = new StringBuilder();
            try {
                int next = socket.getInputStream().read();
                while (next >= 0) {
                    read.append((char) next);
                    next = socket.getInputStream().read();
                }
            } catch (IOException exception) {
                read.append("RESET");
            }
            text.complete(read.toString());
        });
        return text;
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
