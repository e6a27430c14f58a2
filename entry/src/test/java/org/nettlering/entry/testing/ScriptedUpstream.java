package org.nettlering.entry.testing;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** An upstream on a raw socket that does with each request what a test says. */
public final class ScriptedUpstream implements AutoCloseable {
    private static final int PATIENCE_SECONDS = 10;

    /** Listens. */
    private final ServerSocket server;

    /** What is done with each request; may be replaced at any time. */
    private volatile Consumer<ReceivedRequest> script;

    /** The requests so far that a test has not taken. */
    private final BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();

    /** How many requests have come. */
    private final AtomicInteger count = new AtomicInteger();

    /** How many connections were opened. */
    private final AtomicInteger connections = new AtomicInteger();

    private ScriptedUpstream(Consumer<ReceivedRequest> script) {
        this.script = script;
        try {
            server = new ServerSocket(0, 50, InetAddress.ofLiteral("127.0.0.1"));
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        Thread.ofVirtual().start(this::accept);
    }

    public static ScriptedUpstream doing(Consumer<ReceivedRequest> script) {
        return new ScriptedUpstream(script);
    }

    public static ScriptedUpstream answering(String text) {
        return new ScriptedUpstream(request -> request.answer(200, text));
    }

    public static ScriptedUpstream holding() {
        return new ScriptedUpstream(request -> {});
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    public int count() {
        return count.get();
    }

    public int connections() {
        return connections.get();
    }

    public void setScript(Consumer<ReceivedRequest> newScript) {
        script = newScript;
    }

    /** Forgets the requests that were not taken. */
    public void forget() {
        received.clear();
    }

    /** Waits for the next request. */
    public ReceivedRequest take() {
        try {
            ReceivedRequest request = received.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
            if (request == null) {
                throw new AssertionError("no request reached the upstream");
            }
            return request;
        } catch (InterruptedException exception) {
            throw new AssertionError(exception);
        }
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                connections.incrementAndGet();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            int onConnection = 0;
            while (true) {
                ReceivedRequest request = read(in, socket, ++onConnection);
                if (request == null) {
                    return;
                }
                count.incrementAndGet();
                received.add(request);
                script.accept(request);
            }
        } catch (IOException | UncheckedIOException exception) {
            // The entry or the script closed the connection.
        }
    }

    private static @Nullable ReceivedRequest read(InputStream in, Socket socket, int onConnection) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        String header = readLine(in);
        while (header != null && !header.isEmpty()) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).strip());
            header = readLine(in);
        }
        String body = "chunked".equals(headers.get("transfer-encoding"))
                ? readChunks(in)
                : new String(
                        in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0"))),
                        StandardCharsets.ISO_8859_1);
        return new ReceivedRequest(line, Map.copyOf(headers), body, socket, onConnection);
    }

    private static String readChunks(InputStream in) throws IOException {
        StringBuilder body = new StringBuilder();
        while (true) {
            int size = Integer.parseInt(String.valueOf(readLine(in)), 16);
            body.append(new String(in.readNBytes(size), StandardCharsets.ISO_8859_1));
            readLine(in);
            if (size == 0) {
                return body.toString();
            }
        }
    }

    private static @Nullable String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int read = in.read();
        while (read >= 0 && read != '\n') {
            if (read != '\r') {
                line.append((char) read);
            }
            read = in.read();
        }
        return read < 0 && line.isEmpty() ? null : line.toString();
    }
}
