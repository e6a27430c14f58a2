package org.nettlering.standins.upstream;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.net.SocketAddress;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.standins.journal.Journal;
import org.nettlering.standins.journal.JournalLine.RequestRan;

/**
 * The HTTP server of an upstream stand-in.
 *
 * <p>Every request that ran is in the journal with its idempotency key and attempt before it is answered. The answer is
 * an {@link AnswerBody} of the size that the query parameter {@code size} gives. Thread-safe.
 */
public final class UpstreamStandin {
    /** The header in which callers number their attempts. */
    public static final String ATTEMPT_HEADER = "X-Attempt";

    private static final String KEY_HEADER = "Idempotency-Key";
    private static final String ABSENT = "-";
    private static final int DEFAULT_SIZE_BYTES = 100;

    /** The server of the requests. */
    private final HttpServer server;

    /** The clock and its timers. */
    private final TimeSource time;

    /** Where the requests that ran are recorded. */
    private final Journal journal;

    /** How the next requests are treated. */
    private volatile UpstreamBehaviour behaviour;

    /** The requests that are running. */
    private final AtomicInteger inFlight = new AtomicInteger();

    /** The most requests that ran at once. */
    private final AtomicInteger peakInFlight = new AtomicInteger();

    /** The requests that ran. */
    private final AtomicLong ran = new AtomicLong();

    /**
     * Creates a stand-in that is not listening yet.
     *
     * @param vertx the event loops to use, not null
     * @param time the clock, not null
     * @param journal where the requests that ran are recorded, not null
     * @param behaviour how requests are treated, not null
     * @return a new stand-in, never null
     */
    public static UpstreamStandin create(Vertx vertx, TimeSource time, Journal journal, UpstreamBehaviour behaviour) {
        return new UpstreamStandin(vertx, time, journal, behaviour);
    }

    private UpstreamStandin(Vertx vertx, TimeSource time, Journal journal, UpstreamBehaviour behaviour) {
        this.time = time;
        this.journal = journal;
        this.behaviour = behaviour;
        this.server = vertx.createHttpServer().requestHandler(this::receive);
    }

    /**
     * Starts to listen.
     *
     * @param address where, not null
     * @return the port, never null
     */
    public Future<Integer> listen(SocketAddress address) {
        return server.listen(address).map(HttpServer::actualPort);
    }

    /**
     * Returns how requests are treated.
     *
     * @return the behaviour, never null
     */
    public UpstreamBehaviour behaviour() {
        return behaviour;
    }

    /**
     * Returns the number of running requests.
     *
     * @return zero or more
     */
    public int inFlight() {
        return inFlight.get();
    }

    /**
     * Returns the most requests that ran at once.
     *
     * @return zero or more
     */
    public int peakInFlight() {
        return peakInFlight.get();
    }

    /**
     * Returns the number of requests that ran.
     *
     * @return zero or more
     */
    public long ran() {
        return ran.get();
    }

    /**
     * Changes how the next requests are treated.
     *
     * @param newBehaviour the behaviour, not null
     */
    public void setBehaviour(UpstreamBehaviour newBehaviour) {
        behaviour = newBehaviour;
    }

    private void receive(HttpServerRequest request) {
        request.body().onSuccess(body -> run(request));
    }

    private void run(HttpServerRequest request) {
        String attempt = headerOf(request, ATTEMPT_HEADER);
        journal.append(new RequestRan(time.nanoTime(), headerOf(request, KEY_HEADER), attempt));
        ran.incrementAndGet();
        peakInFlight.accumulateAndGet(inFlight.incrementAndGet(), Math::max);
        UpstreamBehaviour now = behaviour;
        if (now.delayMillis() <= 0) {
            answer(request, attempt, now);
            return;
        }
        time.schedule(Duration.ofMillis(now.delayMillis()), () -> answer(request, attempt, now));
    }

    private void answer(HttpServerRequest request, String attempt, UpstreamBehaviour now) {
        inFlight.decrementAndGet();
        HttpServerResponse response = request.response();
        if (response.closed()) {
            return;
        }
        Buffer body = AnswerBody.of(attempt, sizeOf(request));
        if (isChosen(now.cutPercent())) {
            response.putHeader("Content-Length", Integer.toString(body.length()));
            response.write(body.slice(0, body.length() / 2))
                    .onComplete(written -> request.connection().close());
            return;
        }
        response.setStatusCode(isChosen(now.failPercent()) ? 500 : 200);
        response.end(body);
    }

    private static boolean isChosen(int percent) {
        return percent > 0 && ThreadLocalRandom.current().nextInt(100) < percent;
    }

    private static int sizeOf(HttpServerRequest request) {
        String size = request.getParam("size");
        return size == null ? DEFAULT_SIZE_BYTES : Integer.parseInt(size);
    }

    private static String headerOf(HttpServerRequest request, String name) {
        String value = request.getHeader(name);
        return value == null || value.isEmpty() ? ABSENT : value.replace(' ', '_');
    }
}
