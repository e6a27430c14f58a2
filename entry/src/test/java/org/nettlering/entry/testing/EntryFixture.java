package org.nettlering.entry.testing;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Vertx;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.nettlering.domain.configuration.ConfigurationChange;
import org.nettlering.domain.configuration.Interruption;
import org.nettlering.domain.configuration.Profile;
import org.nettlering.domain.configuration.Route;
import org.nettlering.domain.configuration.ServiceDefinition;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.entry.EntryConfiguration;
import org.nettlering.entry.EntryProcess;
import org.nettlering.entry.settings.EntryLimits;
import org.nettlering.runtime.trace.FinishedSpan;
import org.nettlering.runtime.trace.Telemetry;
import org.nettlering.wire.transport.Peer;

/** An entry process on loopback with a manual clock, fake control members and real sockets. */
public final class EntryFixture implements AutoCloseable {
    /** Real time that a test waits for a result that needs no advance of the clock. */
    public static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(10);

    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.ofLiteral("127.0.0.1"), 0);

    private final ManualTime time;
    private final FakeControl control;
    private final Vertx vertx = Vertx.vertx();
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final EntryProcess process;

    /** The finished spans, in the order in which they ended. */
    private final List<FinishedSpan> spans = new CopyOnWriteArrayList<>();

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /** Sequence number of the last announcement. */
    private final AtomicLong sequence = new AtomicLong();

    private String lastAnnouncement = "";

    private EntryFixture(String id, ManualTime time, FakeControl control, EntryLimits limits, Map<String, Peer> peers) {
        this.time = time;
        this.control = control;
        process = new EntryProcess(
                new EntryConfiguration(id, ANY_PORT, ANY_PORT, limits),
                vertx,
                time,
                control,
                peers,
                registry,
                Telemetry.recordingTo("nettlering-entry", id, spans::add, time),
                router -> {});
        await(process.start().toCompletableFuture());
    }

    /** Starts an entry with one service, {@code previews}, routed at {@code /previews}. */
    public static EntryFixture start() {
        return start(EntryLimits.DEFAULTS);
    }

    public static EntryFixture start(EntryLimits limits) {
        ManualTime time = ManualTime.startingAt(Instant.parse("2026-01-01T00:00:00Z"));
        FakeControl control = new FakeControl(time);
        control.applyChanges(
                new ConfigurationChange.PutProfile(new Profile("urgent", 90, Interruption.NEVER, 50)),
                putService("previews", 10_000));
        return start("entry-1", time, control, limits, Map.of());
    }

    public static EntryFixture start(
            String id, ManualTime time, FakeControl control, EntryLimits limits, Map<String, Peer> peers) {
        return new EntryFixture(id, time, control, limits, peers);
    }

    public static ConfigurationChange putService(String name, int timeoutMillis) {
        return new ConfigurationChange.PutService(new ServiceDefinition(
                name, "urgent", List.of(new Route("", "/" + name)), Duration.ofMillis(timeoutMillis), 16));
    }

    public ManualTime time() {
        return time;
    }

    public FakeControl control() {
        return control;
    }

    /** Returns the finished spans, in the order in which they ended. */
    public List<FinishedSpan> spans() {
        return List.copyOf(spans);
    }

    public EntryProcess process() {
        return process;
    }

    /** Advances the clock in small steps, so that every periodic task runs in each of its periods. */
    public void advance(Duration duration) {
        long step = 10;
        for (long passed = 0; passed < duration.toMillis(); passed += step) {
            time.advance(Duration.ofMillis(step));
        }
    }

    /** Announces an upstream of a service and advances the clock so that the entry uses it. */
    public HttpResponse<String> announce(String service, String instance, ScriptedUpstream upstream, String state) {
        return announce("{\"service\":\"" + service + "\",\"instance\":\"" + instance + "\",\"address\":\""
                + upstream.address() + "\",\"slots\":8,\"connections\":60,\"failureDomain\":\"a\",\"state\":\"" + state
                + "\",\"incarnation\":1,\"sequence\":" + sequence.incrementAndGet() + "}");
    }

    /** Returns the JSON of the last announcement. */
    public String lastAnnouncement() {
        return lastAnnouncement;
    }

    public HttpResponse<String> announce(String json) {
        lastAnnouncement = json;
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + process.platformPort() + "/v1/announcements"))
                .POST(HttpRequest.BodyPublishers.ofString(json))
                .build();
        HttpResponse<String> response = await(client.sendAsync(request, HttpResponse.BodyHandlers.ofString()));
        advance(Duration.ofMillis(30));
        return response;
    }

    public HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + process.callersPort() + path));
    }

    /** Sends a request without waiting for its response. */
    public CompletableFuture<HttpResponse<String>> send(HttpRequest request) {
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    public HttpResponse<String> get(String path) {
        return await(send(request(path).build()));
    }

    /** Sends a POST request, with an idempotency key unless {@code key} is empty. */
    public CompletableFuture<HttpResponse<String>> post(String path, String key, String body) {
        HttpRequest.Builder builder = request(path).POST(HttpRequest.BodyPublishers.ofString(body));
        if (!key.isEmpty()) {
            builder.header("Idempotency-Key", key);
        }
        return send(builder.build());
    }

    /** Returns the metrics in the Prometheus text format. */
    public String metrics() {
        try {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
            return out.toString(StandardCharsets.UTF_8);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    public static <T> T await(Future<T> future) {
        try {
            return future.get(AWAIT_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException exception) {
            throw new AssertionError(exception);
        }
    }

    public static String header(HttpResponse<?> response, String name) {
        return response.headers().firstValue(name).orElse("");
    }

    @Override
    public void close() {
        client.shutdownNow();
        await(vertx.close().toCompletionStage().toCompletableFuture());
    }
}
