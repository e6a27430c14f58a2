package org.nettlering.entry.operators;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.runtime.metrics.Metrics;
import org.nettlering.runtime.trace.Telemetry;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationResponse;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationResult;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationUpdate;
import org.nettlering.wire.proto.ConfigurationProto.SiteConfiguration;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.TaskProto.JobStatus;
import org.nettlering.wire.proto.TaskProto.TaskResponse;
import org.nettlering.wire.proto.TaskProto.WorkerReportResponse;
import org.nettlering.wire.transport.FrameFailureException;

class OperatorServerTest {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client = HttpClient.newHttpClient();
    private final FakeGateway gateway = new FakeGateway();
    private volatile ReadinessReport readiness = new ReadinessReport(true, "ready");
    private int port;

    @BeforeEach
    void start() {
        OperatorServices services =
                new OperatorServices("e1", gateway, Telemetry.disabled(), Metrics.create(), () -> readiness);
        port = OperatorServer.start(vertx, ANY_PORT, services)
                .toCompletionStage()
                .toCompletableFuture()
                .orTimeout(20, TimeUnit.SECONDS)
                .join()
                .port();
    }

    @AfterEach
    void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    @Test
    void returnsFullConfiguration() throws Exception {
        SiteConfiguration full = SiteConfiguration.newBuilder().setRevision(7).build();
        respondWith(ConfigurationResponse.newBuilder()
                .setUpdate(ConfigurationUpdate.newBuilder().setRevision(7).setFull(full))
                .build());

        HttpResponse<String> response = get("/v1/configuration");

        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).contains("\"revision\": \"7\"").contains("\"profiles\": []");
        assertThat(gateway.mayRepeatFlags).containsExactly(true);
    }

    @Test
    void acceptedChangeReturnsItsRevision() throws Exception {
        respondWith(result(ConfigurationResult.newBuilder().setRevision(4)));

        HttpResponse<String> response = post("/v1/configuration/changes", "{\"operationId\":\"op-1\"}");

        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).contains("\"revision\": \"4\"");
        assertThat(gateway.requests
                        .getFirst()
                        .getConfigurationRequest()
                        .getChange()
                        .getOperationId())
                .isEqualTo("op-1");
    }

    @Test
    void rejectedChangeReturnsStatusOfErrorCodeAndOutcomeNotRun() throws Exception {
        respondWith(result(ConfigurationResult.newBuilder()
                .setErrorCode("revision-conflict")
                .setErrorMessage("revision 3 expected")
                .setCurrentRevision(5)));

        HttpResponse<String> response = post("/v1/configuration/changes", "{\"operationId\":\"op-1\"}");

        assertThat(response.statusCode()).isEqualTo(409);
        assertThat(response.headers().firstValue("Nettlering-Error")).contains("revision-conflict");
        assertThat(response.headers().firstValue("Nettlering-Outcome")).contains("not-run");
        assertThat(response.body()).contains("\"currentRevision\": \"5\"");
    }

    @Test
    void changeWithoutOperationIdIsRejectedWithoutCallingTheLeader() throws Exception {
        HttpResponse<String> response = post("/v1/configuration/changes", "{}");

        assertThat(response.statusCode()).isEqualTo(400);
        assertThat(response.body()).contains("operation_id is missing");
        assertThat(gateway.requests).isEmpty();
    }

    @Test
    void malformedBodyIsRejectedWithTheExpectedMessageType() throws Exception {
        HttpResponse<String> response = post("/v1/jobs", "{\"operationID\":");

        assertThat(response.statusCode()).isEqualTo(400);
        assertThat(response.headers().firstValue("Nettlering-Error")).contains("invalid-argument");
        assertThat(response.body()).contains("SubmitJob");
    }

    @Test
    void missingLeaderReturnsOutcomeNotRunAndRetryAfter() throws Exception {
        gateway.responder = frame -> {
            throw new NettleringException(ErrorCode.NO_LEADER, "no control leader took the request");
        };

        HttpResponse<String> response = get("/v1/jobs");

        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(response.headers().firstValue("Nettlering-Error")).contains("no-leader");
        assertThat(response.headers().firstValue("Nettlering-Outcome")).contains("not-run");
        assertThat(response.headers().firstValue("Retry-After")).contains("1");
    }

    @Test
    void retryAfterIsTheDelayOfTheLeaderRoundedUpToSeconds() throws Exception {
        gateway.responder = frame -> {
            throw FrameFailureException.of(ErrorCode.OVERLOADED, "busy", true, 2500);
        };

        assertThat(get("/v1/power").headers().firstValue("Retry-After")).contains("3");
    }

    @Test
    void lostLeaderReturnsGatewayTimeoutAndOutcomeUnknown() throws Exception {
        gateway.responder = frame -> {
            throw new NettleringException(ErrorCode.OUTCOME_UNKNOWN, "the leader was lost");
        };

        HttpResponse<String> response = post("/v1/jobs", "{\"operationId\":\"op\",\"job\":{\"jobId\":\"j\"}}");

        assertThat(response.statusCode()).isEqualTo(504);
        assertThat(response.headers().firstValue("Nettlering-Outcome")).contains("unknown");
    }

    @Test
    void jobCanBeSubmittedShownAndCancelledByItsId() throws Exception {
        respondWith(TaskResponse.newBuilder()
                .setJob(JobStatus.newBuilder().setState("pending"))
                .build());

        assertThat(post("/v1/jobs", "{\"operationId\":\"op\",\"job\":{\"jobId\":\"j\"}}")
                        .body())
                .contains("pending");
        assertThat(get("/v1/jobs/j").statusCode()).isEqualTo(200);
        assertThat(send("DELETE", "/v1/jobs/j?operation_id=op2", "").statusCode())
                .isEqualTo(200);
        assertThat(send("DELETE", "/v1/jobs/j", "").statusCode()).isEqualTo(400);
        assertThat(gateway.requests).hasSize(3);
        assertThat(gateway.requests.get(2).getTaskRequest().getCancel().getOperationId())
                .isEqualTo("op2");
    }

    @Test
    void membershipChangesAreNotRepeated() throws Exception {
        assertThat(post("/v1/members", "{\"memberId\":\"c4\"}").statusCode()).isEqualTo(200);
        assertThat(send("DELETE", "/v1/members/c4", "").statusCode()).isEqualTo(200);

        assertThat(gateway.mayRepeatFlags).containsExactly(false, false);
    }

    @Test
    void statusListsPartsThatCouldNotBeRead() throws Exception {
        gateway.responder = frame -> {
            if (frame.hasMembershipRequest()) {
                throw new NettleringException(ErrorCode.NO_LEADER, "nobody leads");
            }
            return Frame.getDefaultInstance();
        };

        HttpResponse<String> response = get("/v1/status");

        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).contains("members: no-leader: nobody leads").contains("\"entryReady\": true");
    }

    @Test
    void readinessAndMetricsAreServed() throws Exception {
        assertThat(get("/ready").statusCode()).isEqualTo(200);
        readiness = new ReadinessReport(false, "stopping");
        HttpResponse<String> response = get("/ready");

        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(response.body()).contains("stopping");
        assertThat(get("/metrics").body()).contains("process_cpu_seconds_total");
    }

    @Test
    void unknownResourcesAndOversizedBodiesAreRejectedWithAnErrorCode() throws Exception {
        assertThat(get("/v1/nothing").headers().firstValue("Nettlering-Error")).contains("not-found");
        HttpResponse<String> response = post("/v1/jobs", "x".repeat(2 * 1024 * 1024));
        assertThat(response.statusCode()).isEqualTo(413);
        assertThat(response.headers().firstValue("Nettlering-Error")).contains("too-large");
    }

    @Test
    void timeoutHeaderIsForwardedAndInvalidValueIsRejected() throws Exception {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/v1/power"));
        client.send(
                request.copy().header("Nettlering-Timeout-Millis", "250").build(),
                HttpResponse.BodyHandlers.ofString());
        HttpResponse<String> rejected = client.send(
                request.copy().header("Nettlering-Timeout-Millis", "-1").build(), HttpResponse.BodyHandlers.ofString());

        assertThat(gateway.timeouts).containsExactly(Duration.ofMillis(250));
        assertThat(rejected.statusCode()).isEqualTo(400);
    }

    @Test
    void workerReportIsForwardedAndReturnsTheLease() throws Exception {
        Router router = Router.router(vertx);
        WorkerReportRoutes.register(router, gateway, Telemetry.disabled());
        HttpServer platform = vertx.createHttpServer()
                .requestHandler(router)
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(20, TimeUnit.SECONDS);
        port = platform.actualPort();
        respondWith(TaskResponse.newBuilder()
                .setReport(WorkerReportResponse.newBuilder().setLeaseMillis(9000))
                .build());

        HttpResponse<String> response = post("/v1/worker-reports", "{\"workerId\":\"w1\",\"sequence\":\"5\"}");

        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).contains("\"leaseMillis\":9000");
        assertThat(gateway.requests.getFirst().getTaskRequest().getReport().getSequence())
                .isEqualTo(5);
        assertThat(post("/v1/worker-reports", "[]").statusCode()).isEqualTo(400);
    }

    private void respondWith(ConfigurationResponse response) {
        gateway.responder =
                frame -> Frame.newBuilder().setConfigurationResponse(response).build();
    }

    private void respondWith(TaskResponse response) {
        gateway.responder =
                frame -> Frame.newBuilder().setTaskResponse(response).build();
    }

    private static ConfigurationResponse result(ConfigurationResult.Builder result) {
        return ConfigurationResponse.newBuilder().setResult(result).build();
    }

    private HttpResponse<String> get(String path) throws Exception {
        return send("GET", path, "");
    }

    private HttpResponse<String> post(String path, String body) throws Exception {
        return send("POST", path, body);
    }

    private HttpResponse<String> send(String method, String path, String body) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .version(HttpClient.Version.HTTP_1_1)
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }
}
