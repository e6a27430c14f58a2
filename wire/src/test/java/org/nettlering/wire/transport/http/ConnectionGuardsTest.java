package org.nettlering.wire.transport.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.queue.RequestLimits;
import org.nettlering.domain.time.ManualTime;

class ConnectionGuardsTest {
    private static final int MAX_CONNECTIONS = 3;

    private static final int MAX_BODY_BYTES = 100_000;

    private static final int SOCKET_TIMEOUT_MILLIS = 30_000;

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final Vertx vertx = Vertx.vertx();
    private final BlockingQueue<String> bodies = new LinkedBlockingQueue<>();
    private final BlockingQueue<GuardedRequest> passedOn = new LinkedBlockingQueue<>();
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final ConnectionGuards guards = ConnectionGuards.of(
            new InputLimits(MAX_CONNECTIONS, 1 << 20, MAX_BODY_BYTES, Duration.ofSeconds(30)),
            () -> RequestLimits.DEFAULT,
            time,
            InputMetrics.registerIn(registry));
    private int port;

    @BeforeEach
    void start() throws Exception {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        HttpServer server = guards.guard(vertx.createHttpServer(ConnectionGuards.options(address)))
                .requestHandler(this::receive);
        port = server.listen()
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS)
                .actualPort();
    }

    @AfterEach
    void stop() {
        vertx.close();
    }

    private void receive(HttpServerRequest request) {
        GuardedRequest guarded = GuardedRequest.begin(guards, request);
        request.response().endHandler(end -> guarded.endResponse()).closeHandler(closed -> guarded.release());
        guarded.readBody(
                body -> {
                    bodies.add(body);
                    if (request.path().equals("/passed-on")) {
                        assertThat(guarded.hold(10_000)).isTrue();
                        passedOn.add(guarded);
                        return;
                    }
                    request.response().end("served");
                },
                reason -> {
                    request.response().setStatusCode(499);
                    guarded.respondAndClose(reason.label());
                });
    }

    @Test
    void requestsOfOneConnectionAreServedOneAfterAnother() throws Exception {
        try (Socket client = connect()) {
            write(client, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello");
            assertThat(readUntil(client, "served")).startsWith("HTTP/1.1 200");
            write(client, "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n");
            assertThat(readUntil(client, "served.*served")).startsWith("HTTP/1.1 200");
            assertThat(bodies).containsExactly("hello", "", "");
        }
        awaitNothingHeld();
    }

    @Test
    void theResponseToARefusedBodyArrivesWhileTheClientStillSends() throws Exception {
        try (Socket client = connect()) {
            write(client, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000000\r\n\r\n");
            write(client, "x".repeat(500_000));
            assertThat(readUntil(client, "body_too_large"))
                    .startsWith("HTTP/1.1 499")
                    .contains("Connection: close");
        }
        assertThat(bodies).isEmpty();
        awaitNothingHeld();
    }

    @Test
    void aChunkedBodyThatIsTooLargeIsRefused() throws Exception {
        try (Socket client = connect()) {
            write(client, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
            write(client, ("2710\r\n" + "x".repeat(10_000) + "\r\n").repeat(11));
            assertThat(readUntil(client, "body_too_large")).startsWith("HTTP/1.1 499");
        }
        assertThat(bodies).isEmpty();
        awaitNothingHeld();
    }

    @Test
    void aClientThatExpectsItIsToldToContinue() throws Exception {
        try (Socket client = connect()) {
            write(client, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n");
            assertThat(readUntil(client, "\r\n\r\n")).startsWith("HTTP/1.1 100");
            write(client, "hello");
            assertThat(readUntil(client, "served")).startsWith("HTTP/1.1 200");
        }
    }

    @Test
    void aClientWhoseBodyIsTooLargeIsNotToldToContinue() throws Exception {
        try (Socket client = connect()) {
            write(client, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 500000\r\nExpect: 100-continue\r\n\r\n");
            assertThat(readUntil(client, "body_too_large")).startsWith("HTTP/1.1 499");
        }
    }

    @Test
    void aHeadThatIsNotCompleteInTimeGets408() throws Exception {
        try (Socket client = connect()) {
            write(client, "GET / HTTP/1.1\r\nHost: a\r\n");
            await(() -> guards.memory().usedBytes() > 0);
            time.advance(Duration.ofSeconds(4));
            assertThat(readUntil(client, "\r\n\r\n")).startsWith("HTTP/1.1 408");
            assertThat(client.getInputStream().read()).isEqualTo(-1);
        }
        awaitNothingHeld();
    }

    @Test
    void aBodyThatIsNotCompleteInTimeClosesItsConnection() throws Exception {
        try (Socket client = connect()) {
            write(client, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhell");
            await(() -> guards.memory().usedBytes() > 1_000);
            time.advance(Duration.ofSeconds(14));
            assertThat(guards.count()).isEqualTo(1);
            time.advance(Duration.ofSeconds(2));
            assertThat(client.getInputStream().read()).isEqualTo(-1);
        }
        assertThat(bodies).isEmpty();
        awaitNothingHeld();
    }

    @Test
    void aBodyThatArrivesAfterItsHeadIsNotTakenForTheNextHead() throws Exception {
        try (Socket client = connect()) {
            write(client, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n");
            await(() -> guards.memory().usedBytes() > 0);
            write(client, "hello");
            assertThat(readUntil(client, "served")).startsWith("HTTP/1.1 200");
            await(() -> guards.memory().usedBytes() == 0);
            time.advance(Duration.ofSeconds(10));
            write(client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
            assertThat(readUntil(client, "served")).startsWith("HTTP/1.1 200");
        }
        awaitNothingHeld();
    }

    @Test
    void anUnusedConnectionIsClosedAfterTheIdleTimeout() throws Exception {
        try (Socket client = connect()) {
            await(() -> guards.count() == 1);
            time.advance(Duration.ofSeconds(16));
            assertThat(client.getInputStream().read()).isEqualTo(-1);
        }
    }

    @Test
    void aNewConnectionTakesThePlaceOfTheOneThatWasUnusedForLongest() throws Exception {
        try (Socket oldest = connect();
                Socket sending = connect()) {
            write(sending, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhell");
            await(() -> guards.memory().usedBytes() > 1_000 && guards.count() == 2);
            time.advance(Duration.ofMillis(100));
            try (Socket third = connect()) {
                await(() -> guards.count() == MAX_CONNECTIONS);
                try (Socket newest = connect()) {
                    assertThat(oldest.getInputStream().read()).isEqualTo(-1);
                    write(newest, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
                    assertThat(readUntil(newest, "served")).startsWith("HTTP/1.1 200");
                    write(sending, "o");
                    assertThat(readUntil(sending, "served")).startsWith("HTTP/1.1 200");
                    assertThat(third.isConnected()).isTrue();
                }
            }
        }
        awaitNothingHeld();
    }

    @Test
    void aBodyForWhichThereIsNoMemoryIsRefusedAndASmallOneServed() throws Exception {
        RequestMemory.Share others = guards.memory().open(() -> {});
        assertThat(others.resize((1 << 20) * 3 / 4)).isTrue();
        others.complete();
        try (Socket large = connect();
                Socket small = connect()) {
            write(large, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 90000\r\n\r\n" + "x".repeat(90_000));
            assertThat(readUntil(large, "no_memory")).startsWith("HTTP/1.1 499");
            write(small, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nsmall");
            assertThat(readUntil(small, "served")).startsWith("HTTP/1.1 200");
        }
        assertThat(bodies).containsExactly("small");
        others.close();
        awaitNothingHeld();
    }

    @Test
    void whatWasPassedOnIsHeldThoughItsClientHasGone() throws Exception {
        try (Socket client = connect()) {
            write(client, "GET /passed-on HTTP/1.1\r\nHost: a\r\n\r\n");
            await(() -> !passedOn.isEmpty());
        }
        await(() -> guards.count() == 0);
        assertThat(guards.memory().usedBytes()).isGreaterThan(10_000);
        passedOn.take().passedOnEnded();
        awaitNothingHeld();
    }

    private void awaitNothingHeld() throws InterruptedException {
        await(() -> {
            time.advance(Duration.ofMillis(200));
            return guards.memory().usedBytes() == 0 && guards.count() == 0;
        });
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SOCKET_TIMEOUT_MILLIS);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("time left").isLessThan(end);
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        return socket;
    }

    private static void write(Socket client, String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads until the text matches, or to its end. */
    private static String readUntil(Socket client, String pattern) throws IOException {
        StringBuilder text = new StringBuilder();
        while (!text.toString().matches("(?s).*" + pattern + ".*")) {
            int next = client.getInputStream().read();
            if (next < 0) {
                return text.toString();
            }
            text.append((char) next);
        }
        return text.toString();
    }
}
