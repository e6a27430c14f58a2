package org.nettlering.standins.site;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.Router;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.nettlering.control.process.ControlProcess;
import org.nettlering.control.settings.ControlMember;
import org.nettlering.control.settings.ControlSettings;
import org.nettlering.control.settings.GroupStart;
import org.nettlering.control.workflow.WorkflowOptions;
import org.nettlering.domain.time.SystemTime;
import org.nettlering.domain.workflow.host.HostTimings;
import org.nettlering.entry.operators.OperatorServer;
import org.nettlering.entry.operators.OperatorServices;
import org.nettlering.entry.operators.ReadinessReport;
import org.nettlering.entry.operators.WorkerReportRoutes;
import org.nettlering.operator.OperatorProgram;
import org.nettlering.runtime.metrics.Metrics;
import org.nettlering.runtime.program.ExitCode;
import org.nettlering.runtime.settings.TelemetrySettings;
import org.nettlering.runtime.trace.FinishedSpan;
import org.nettlering.runtime.trace.Telemetry;
import org.nettlering.wire.transport.ClusterIdentity;
import org.nettlering.wire.transport.LeaderControlGateway;
import org.nettlering.wire.transport.PeerNetwork;
import org.nettlering.wire.transport.TransportLimits;

/** One control process with a real log, and the operators' and platform ports of two entries in front of it. */
final class OneControlSite implements AutoCloseable {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    final List<FinishedSpan> spans = new CopyOnWriteArrayList<>();
    private final SystemTime time = SystemTime.create("test-site");
    private final Vertx vertx = Vertx.vertx();
    private final HttpClient http = HttpClient.newHttpClient();
    private final List<PeerNetwork> networks = new ArrayList<>();
    private final List<Integer> operatorPorts = new ArrayList<>();
    private final List<Integer> platformPorts = new ArrayList<>();
    private final ControlProcess control;

    OneControlSite(Path folder) {
        ControlSettings settings = new ControlSettings(
                new ClusterIdentity("test", "c1", "fd-1"),
                ANY_PORT,
                ANY_PORT,
                folder.resolve("data"),
                Map.of("c1", new ControlMember("c1", new InetSocketAddress(ANY_PORT.getAddress(), 1), "fd-1")),
                Map.of(),
                new GroupStart(true, false, 1),
                new HostTimings(Duration.ofSeconds(5), Duration.ofSeconds(6), Duration.ofSeconds(1)),
                WorkflowOptions.NONE,
                TelemetrySettings.NONE);
        control = ControlProcess.start(
                settings, clock -> Telemetry.recordingTo("nettlering-control", "c1", spans::add, clock));
        startEntry("e1");
        startEntry("e2");
    }

    /** Runs the operator program against both entries, or the ones that the arguments name. */
    Run operate(String... arguments) {
        List<String> line = new ArrayList<>(List.of(arguments));
        if (!line.contains("--entry")) {
            operatorPorts.forEach(port -> line.addAll(List.of("--entry", "127.0.0.1:" + port)));
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        OperatorProgram program = new OperatorProgram(
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8),
                Map.of());
        ExitCode code = program.run(line.toArray(String[]::new));
        return new Run(code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    int operatorPort(int entry) {
        return operatorPorts.get(entry);
    }

    /** Starts an entry that passes changes on and loses their answers. */
    int startEntryThatLosesAnswers() {
        return await(vertx.createHttpServer()
                        .requestHandler(request -> request.body().onSuccess(body -> passOn(request, body.toString())))
                        .listen(0, "127.0.0.1"))
                .actualPort();
    }

    private void passOn(HttpServerRequest request, String body) {
        String method = request.method().name();
        vertx.executeBlocking(() -> send(operatorPorts.getFirst(), method, request.uri(), body, ""))
                .onSuccess(answer -> {
                    if (method.equals("GET")) {
                        request.response().end(answer);
                    } else {
                        request.connection().close();
                    }
                });
    }

    String report(String body) {
        return send(platformPorts.getFirst(), "POST", "/v1/worker-reports", body, "");
    }

    String submit(String body, String traceparent) {
        return send(operatorPorts.getFirst(), "POST", "/v1/jobs", body, traceparent);
    }

    @Override
    public void close() {
        await(vertx.close());
        networks.forEach(PeerNetwork::close);
        control.stop();
        time.close();
    }

    private void startEntry(String id) {
        PeerNetwork network =
                PeerNetwork.create(new ClusterIdentity("test", id, "fd-1"), TransportLimits.defaults(), time);
        networks.add(network);
        LeaderControlGateway gateway =
                LeaderControlGateway.of(Map.of("c1", network.peer("c1", control.peersAddress())), time);
        Telemetry telemetry = Telemetry.recordingTo("nettlering-entry", id, spans::add, time);
        OperatorServices services = new OperatorServices(
                id, gateway, telemetry, Metrics.create(), () -> new ReadinessReport(true, "ready"));
        operatorPorts.add(await(OperatorServer.start(vertx, ANY_PORT, services)).port());
        Router router = Router.router(vertx);
        WorkerReportRoutes.register(router, gateway, telemetry);
        HttpServer platform =
                await(vertx.createHttpServer().requestHandler(router).listen(0, "127.0.0.1"));
        platformPorts.add(platform.actualPort());
    }

    private String send(int port, String method, String path, String body, String traceparent) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .version(HttpClient.Version.HTTP_1_1)
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (!traceparent.isEmpty()) {
            request.header("traceparent", traceparent);
        }
        return http.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
                .thenApply(HttpResponse::body)
                .orTimeout(30, TimeUnit.SECONDS)
                .join();
    }

    private static <T> T await(Future<T> future) {
        return future.toCompletionStage()
                .toCompletableFuture()
                .orTimeout(30, TimeUnit.SECONDS)
                .join();
    }

    record Run(ExitCode code, String out, String err) {}
}
