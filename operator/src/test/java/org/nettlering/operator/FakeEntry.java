package org.nettlering.operator;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/** An operators' port that keeps what it is asked and answers as the test says. */
final class FakeEntry {
    final List<String> requests = new CopyOnWriteArrayList<>();
    final List<String> bodies = new CopyOnWriteArrayList<>();
    private final HttpServer server;
    private volatile BiConsumer<HttpServerRequest, String> behaviour = (request, body) -> answer(request, 200, "{}");

    FakeEntry(Vertx vertx) {
        server = await(vertx.createHttpServer()
                .requestHandler(request -> request.body().onSuccess(body -> {
                    requests.add(request.method() + " " + request.uri());
                    bodies.add(body.toString());
                    behaviour.accept(request, body.toString());
                }))
                .listen(0, "127.0.0.1"));
    }

    FakeEntry behave(BiConsumer<HttpServerRequest, String> newBehaviour) {
        behaviour = newBehaviour;
        return this;
    }

    /** Answers reads with a configuration of revision 7 and changes as given. */
    FakeEntry changes(BiConsumer<HttpServerRequest, String> change) {
        return behave((request, body) -> {
            if (request.method().name().equals("GET")) {
                answer(request, 200, "{\"revision\": \"7\"}");
            } else {
                change.accept(request, body);
            }
        });
    }

    static void answer(HttpServerRequest request, int status, String body) {
        request.response().setStatusCode(status).end(body);
    }

    static void refuse(HttpServerRequest request, int status, String code, String outcome) {
        request.response()
                .putHeader("Nettlering-Error", code)
                .putHeader("Nettlering-Outcome", outcome)
                .setStatusCode(status)
                .end("{\"message\": \"because\"}");
    }

    String address() {
        return "127.0.0.1:" + server.actualPort();
    }

    void close() {
        await(server.close());
    }

    private static <T> T await(io.vertx.core.Future<T> future) {
        return future.toCompletionStage()
                .toCompletableFuture()
                .orTimeout(20, TimeUnit.SECONDS)
                .join();
    }
}
