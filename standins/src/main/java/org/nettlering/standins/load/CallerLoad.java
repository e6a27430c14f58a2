package org.nettlering.standins.load;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.standins.upstream.AnswerBody;
import org.nettlering.standins.upstream.UpstreamStandin;

/**
 * Sends requests to the entries at a rate that does not depend on the answers.
 *
 * <p>Idempotent requests and those with a key are sent again, at the next entry, when an attempt did not run or its
 * outcome is unknown; a key never changes. The latency counts from when the request was due, so that waiting behind slow
 * answers is not left out. Thread-safe.
 */
public final class CallerLoad {
    private static final String OUTCOME_HEADER = "Nettlering-Outcome";
    private static final String ERROR_HEADER = "Nettlering-Error";
    private static final int POOL_SIZE = 256;
    private static final Duration RESEND_DELAY = Duration.ofMillis(100);
    private static final Duration LONGEST_RESEND_DELAY = Duration.ofSeconds(2);
    private static final Duration GRACE = Duration.ofSeconds(1);

    /** The clock and its timers. */
    private final TimeSource time;

    /** The HTTP client. */
    private final HttpClient client;

    /** The event loop of all exchanges; a response handled from another thread can lose its body. */
    private final Context context;

    /** The callers' ports of the entries. */
    private final List<SocketAddress> entries;

    /** What to send. */
    private final LoadPlan plan;

    /** What came of it. */
    private final LoadResult result = new LoadResult();

    /** Completed when every request has a final outcome. */
    private final Promise<LoadResult> done = Promise.promise();

    /** The requests without a final outcome. */
    private final AtomicInteger remaining;

    /**
     * Creates a load that is not started yet.
     *
     * @param time the clock, not null
     * @param vertx the event loops to use, not null
     * @param entries the callers' ports of the entries, at least one, not null
     * @param plan what to send, not null
     * @return a new load, never null
     */
    public static CallerLoad create(TimeSource time, Vertx vertx, List<SocketAddress> entries, LoadPlan plan) {
        return new CallerLoad(time, vertx, entries, plan);
    }

    private CallerLoad(TimeSource time, Vertx vertx, List<SocketAddress> entries, LoadPlan plan) {
        this.time = time;
        this.client = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout((int) plan.timeout().toMillis()),
                new PoolOptions().setHttp1MaxSize(POOL_SIZE));
        this.context = vertx.getOrCreateContext();
        this.entries = List.copyOf(entries);
        this.plan = plan;
        this.remaining = new AtomicInteger(plan.requests());
    }

    /**
     * Starts the load.
     *
     * @return the result, when every request has a final outcome, never null
     */
    public Future<LoadResult> start() {
        sendDue(0, time.nanoTime());
        return done.future();
    }

    /**
     * Returns the result so far.
     *
     * @return the result, which still changes while the load runs, never null
     */
    public LoadResult result() {
        return result;
    }

    private void sendDue(int first, long startNanos) {
        long nanosPerRequest = TimeUnit.SECONDS.toNanos(1) / plan.requestsPerSecond();
        int number = first;
        while (number < plan.requests() && startNanos + number * nanosPerRequest - time.nanoTime() <= 0) {
            send(new Pending(number, 1, startNanos + number * nanosPerRequest));
            number++;
        }
        if (number == plan.requests()) {
            return;
        }
        int next = number;
        long waitNanos = startNanos + number * nanosPerRequest - time.nanoTime();
        time.schedule(Duration.ofNanos(waitNanos), () -> sendDue(next, startNanos));
    }

    private void send(Pending pending) {
        SocketAddress entry = entries.get((pending.number() + pending.attempt() - 1) % entries.size());
        boolean keyed = plan.isNonIdempotent(pending.number());
        RequestOptions options = new RequestOptions()
                .setMethod(keyed ? HttpMethod.POST : HttpMethod.GET)
                .setServer(entry)
                .setHost(entry.host())
                .setPort(entry.port())
                .setURI(plan.path())
                .putHeader(
                        "Nettlering-Timeout-Millis",
                        Long.toString(plan.timeout().toMillis()))
                .putHeader(UpstreamStandin.ATTEMPT_HEADER, attemptOf(pending));
        if (keyed) {
            options.putHeader("Nettlering-Idempotent", "false").putHeader("Idempotency-Key", requestOf(pending));
        }
        context.runOnContext(onLoop -> client.request(options)
                .onFailure(refused -> settle(pending, Attempt.of(Outcome.NOT_RUN, "connection-refused")))
                .onSuccess(request -> exchange(pending, request, keyed)));
    }

    private void exchange(Pending pending, HttpClientRequest request, boolean keyed) {
        long limitMillis = plan.timeout().plus(GRACE).toMillis();
        Future<HttpClientResponse> response =
                keyed ? request.send(Buffer.buffer("draft " + requestOf(pending))) : request.send();
        response.compose(head -> head.body().map(body -> read(pending, head, body)))
                .timeout(limitMillis, TimeUnit.MILLISECONDS)
                .onComplete(answer -> {
                    if (answer.succeeded()) {
                        settle(pending, answer.result());
                        return;
                    }
                    request.reset();
                    settle(pending, Attempt.of(Outcome.UNKNOWN, "connection-lost"));
                });
    }

    private Attempt read(Pending pending, HttpClientResponse head, Buffer body) {
        String outcome = head.getHeader(OUTCOME_HEADER);
        if (outcome != null) {
            String error = head.getHeader(ERROR_HEADER);
            Duration delay = resendDelay(head.getHeader("Retry-After"));
            Outcome kind = "not-run".equals(outcome) ? Outcome.NOT_RUN : Outcome.UNKNOWN;
            return new Attempt(kind, error == null ? "no-error-code" : error, delay);
        }
        Outcome kind = AnswerBody.isWhole(body, requestOf(pending)) ? Outcome.ANSWERED : Outcome.WRONG;
        return Attempt.of(kind, kind == Outcome.WRONG ? "wrong-answer-" + head.statusCode() : "");
    }

    private static Duration resendDelay(String retryAfterSeconds) {
        if (retryAfterSeconds == null) {
            return RESEND_DELAY;
        }
        Duration asked = Duration.ofSeconds(Long.parseLong(retryAfterSeconds));
        return asked.compareTo(LONGEST_RESEND_DELAY) > 0 ? LONGEST_RESEND_DELAY : asked;
    }

    private void settle(Pending pending, Attempt attempt) {
        result.addAttempt(attemptOf(pending), attempt.outcome(), attempt.error());
        boolean settled = attempt.outcome() == Outcome.ANSWERED || attempt.outcome() == Outcome.WRONG;
        if (!settled && pending.attempt() < plan.attempts()) {
            time.schedule(attempt.resendDelay(), () -> send(pending.next()));
            return;
        }
        long micros = TimeUnit.NANOSECONDS.toMicros(time.nanoTime() - pending.dueNanos());
        result.addRequest(requestOf(pending), plan.isNonIdempotent(pending.number()), attempt.outcome(), micros);
        if (remaining.decrementAndGet() == 0) {
            done.complete(result);
        }
    }

    private String requestOf(Pending pending) {
        return plan.name() + "-" + pending.number();
    }

    private String attemptOf(Pending pending) {
        return requestOf(pending) + "." + pending.attempt();
    }

    /** A request without a final outcome. */
    private record Pending(int number, int attempt, long dueNanos) {
        Pending next() {
            return new Pending(number, attempt + 1, dueNanos);
        }
    }

    /** What came of one attempt. */
    private record Attempt(Outcome outcome, String error, Duration resendDelay) {
        static Attempt of(Outcome outcome, String error) {
            return new Attempt(outcome, error, RESEND_DELAY);
        }
    }
}
