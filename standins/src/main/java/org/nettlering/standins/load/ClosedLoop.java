package org.nettlering.standins.load;

import io.vertx.core.Context;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/**
 * Sends requests over a fixed number of connections, each one after the answer to the one before.
 *
 * <p>For measuring what a hop costs without queueing; {@link CallerLoad} is for tails under load. Not thread-safe.
 */
public final class ClosedLoop {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long LIMIT_SECONDS = 120;

    /** The HTTP client. */
    private final HttpClient client;

    /** The event loop of all exchanges; a response handled from another thread can lose its body. */
    private final Context context;

    /** What every request asks for. */
    private final RequestOptions options;

    /** The connections in use at once. */
    private final int connections;

    /** The time to the whole answer in microseconds. */
    private final Recorder latencyMicros = new Recorder(SIGNIFICANT_DIGITS);

    /** The requests that were not answered with 200. */
    private final AtomicInteger failed = new AtomicInteger();

    /**
     * Creates a loop.
     *
     * @param vertx the event loops to use, not null
     * @param target where the requests go, not null
     * @param path the path to ask for, not null
     * @param connections how many requests are under way at once
     * @return a new loop, never null
     */
    public static ClosedLoop create(Vertx vertx, SocketAddress target, String path, int connections) {
        return new ClosedLoop(vertx, target, path, connections);
    }

    private ClosedLoop(Vertx vertx, SocketAddress target, String path, int connections) {
        this.client = vertx.createHttpClient(new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(connections));
        this.context = vertx.getOrCreateContext();
        this.options = new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setServer(target)
                .setHost(target.host())
                .setPort(target.port())
                .setURI(path);
        this.connections = connections;
    }

    /**
     * Sends requests and waits for their answers.
     *
     * @param requests how many
     * @return how long it took in nanoseconds
     */
    public long run(int requests) {
        AtomicInteger toSend = new AtomicInteger(requests);
        AtomicInteger toAnswer = new AtomicInteger(requests);
        Promise<Void> done = Promise.promise();
        long startNanos = System.nanoTime();
        for (int connection = 0; connection < connections; connection++) {
            context.runOnContext(onLoop -> sendNext(toSend, toAnswer, done));
        }
        try {
            done.future().await(LIMIT_SECONDS, TimeUnit.SECONDS);
        } catch (TimeoutException exception) {
            throw new NettleringException(ErrorCode.DEADLINE_EXCEEDED, "requests were not answered", exception);
        }
        return System.nanoTime() - startNanos;
    }

    /**
     * Returns the latencies since the last call.
     *
     * @return microseconds, never null
     */
    public Histogram takeLatencyMicros() {
        return latencyMicros.getIntervalHistogram();
    }

    /**
     * Returns the number of requests that were not answered with 200.
     *
     * @return zero or more
     */
    public int failed() {
        return failed.get();
    }

    private void sendNext(AtomicInteger toSend, AtomicInteger toAnswer, Promise<Void> done) {
        if (toSend.getAndDecrement() <= 0) {
            return;
        }
        long startNanos = System.nanoTime();
        client.request(options)
                .compose(request -> request.send())
                .compose(response -> response.body().map(body -> isOk(response)))
                .onComplete(answer -> {
                    latencyMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos));
                    if (answer.failed() || !answer.result()) {
                        failed.incrementAndGet();
                    }
                    if (toAnswer.decrementAndGet() == 0) {
                        done.complete();
                        return;
                    }
                    sendNext(toSend, toAnswer, done);
                });
    }

    private static boolean isOk(HttpClientResponse response) {
        return response.statusCode() == 200;
    }
}
