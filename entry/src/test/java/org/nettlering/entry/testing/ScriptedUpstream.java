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

/** An upstream on a raw socket that handles each request with a script. */
public final class ScriptedUpstream implements AutoCloseable {
    private static final int TAKE_TIMEOUT_SECONDS = 10;

    private final ServerSocket server;

    /** Handles each request; may be replaced at any time. */
    private volatile Consumer<ReceivedRequest> script;

    /** The received requests that {@link #take} has not returned yet. */
    private final BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();

    private final AtomicInteger requestCount = new AtomicInteger();

    private final AtomicInteger connectionCount = new AtomicInteger();

    private ScriptedUpstream(Consumer<ReceivedRequest> script) {
        this.script = script;
        try {
            server = new ServerSocket(0, 50, InetAddress.ofLiteral("127.0.0.1"));
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        Thread.ofVirtual().start(this::accept);
    }

    public static ScriptedUpstream scripted(Consumer<ReceivedRequest> script) {
        return new ScriptedUpstream(script);
    }

    public static ScriptedUpstream responding(String text) {
        return new ScriptedUpstream(request -> request.respond(200, text));
    }

    public static ScriptedUpstream unresponsive() {
        return new ScriptedUpstream(request -> {});
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    public int requestCount() {
        return requestCount.get();
    }

    public int connectionCount() {
        return connectionCount.get();
    }

    public void setScript(Consumer<ReceivedRequest> newScript) {
        script = newScript;
    }

    /** Discards the received requests that {@link #take} has not returned yet. */
    public void discardReceived() {
        received.clear();
    }

    /** Waits for the next request and returns it. */
    public ReceivedRequest take() {
        try {
            ReceivedRequest request = received.poll(TAKE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
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
                connectionCount.incrementAndGet();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            int requestsOnConnection = 0;
            while (true) {
                ReceivedRequest request = read(in, socket, ++requestsOnConnection);
                if (request == null) {
                    return;
                }
                requestCount.incrementAndGet();
                received.add(request);
                script.accept(request);
            }
        } catch (IOException | UncheckedIOException exception) {
            // The entry or the script closed the connection.
        }
    }

    private static @Nullable ReceivedRequest read(InputStream in, Socket socket, int requestsOnConnection)
            throws IOException {
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
        return new ReceivedRequest(line, Map.copyOf(headers), body, socket, requestsOnConnection);
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
