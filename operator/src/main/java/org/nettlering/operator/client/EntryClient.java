package org.nettlering.operator.client;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.runtime.program.ExitCode;
import org.nettlering.runtime.settings.Addresses;

/**
 * Sends requests to the operators' port of the first entry that takes them.
 *
 * <p>Asks the entries in order. Goes on to the next one when no connection could be made, when the entry says that the
 * request was not run for want of a leader, and, for repeatable requests, also when the answer was lost. Used by one
 * thread.
 */
public final class EntryClient implements AutoCloseable {
    private static final Duration MAX_ATTEMPT = Duration.ofSeconds(12);

    private static final Duration ANSWER_MARGIN = Duration.ofMillis(500);

    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

    private static final int FIRST_ERROR_STATUS = 400;

    /** Runs the client. */
    private final Vertx vertx;

    /** The event loop of all exchanges. */
    private final Context loop;

    /** The HTTP client. */
    private final HttpClient http;

    /** The entries in the order in which they are asked. */
    private final List<InetSocketAddress> entries;

    /** How long one attempt may take. */
    private final Duration attemptTimeout;

    /**
     * Creates a client.
     *
     * @param entries the operators' ports of the entries, in the order in which they are asked, not null
     * @param timeout how long all attempts at a request may take together, not null
     * @return a new client, never null
     */
    public static EntryClient create(List<InetSocketAddress> entries, Duration timeout) {
        return new EntryClient(entries, timeout);
    }

    private EntryClient(List<InetSocketAddress> entries, Duration timeout) {
        this.entries = List.copyOf(entries);
        Duration share = timeout.dividedBy(Math.max(1, entries.size()));
        attemptTimeout = share.compareTo(MAX_ATTEMPT) > 0 ? MAX_ATTEMPT : share;
        vertx = Vertx.vertx(
                new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1));
        loop = vertx.getOrCreateContext();
        http = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
    }

    /**
     * Sends a request and waits for its answer.
     *
     * @param request the request, not null
     * @return the JSON body of the answer, never null
     * @throws OperatorException if the request was refused, not run, or its outcome is not known
     */
    public String send(EntryRequest request) {
        OperatorException last = null;
        boolean possiblyRun = false;
        for (InetSocketAddress entry : entries) {
            try {
                return attempt(entry, request);
            } catch (OperatorException exception) {
                last = exception;
            }
            possiblyRun |= last.exitCode() == ExitCode.UNKNOWN_OUTCOME;
            if (!isWorthAnotherEntry(last, request)) {
                throw last;
            }
        }
        throw summary(last, possiblyRun);
    }

    @Override
    public void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private static boolean isWorthAnotherEntry(OperatorException exception, EntryRequest request) {
        return switch (exception.exitCode()) {
            case UNREACHABLE -> true;
            case UNKNOWN_OUTCOME -> request.repeatable();
            case SUCCESS, FAILURE, USAGE -> false;
        };
    }

    private static OperatorException summary(@Nullable OperatorException last, boolean possiblyRun) {
        if (last == null) {
            return new OperatorException(
                    ErrorCode.INVALID_ARGUMENT, "no entry is named: use --entry HOST:PORT", ExitCode.USAGE);
        }
        if (possiblyRun && last.exitCode() != ExitCode.UNKNOWN_OUTCOME) {
            return new OperatorException(
                    ErrorCode.OUTCOME_UNKNOWN,
                    "an earlier entry may have carried the request out; then: " + last.getMessage(),
                    ExitCode.UNKNOWN_OUTCOME);
        }
        return last;
    }

    private String attempt(InetSocketAddress entry, EntryRequest request) {
        RequestOptions options = new RequestOptions()
                .setHost(entry.getHostString())
                .setPort(entry.getPort())
                .setMethod(HttpMethod.valueOf(request.method()))
                .setURI(request.path())
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        HttpClientRequest opened = connect(entry, onLoop(() -> http.request(options)));
        opened.putHeader("Content-Type", "application/json");
        Duration entryTimeout = attemptTimeout.minus(ANSWER_MARGIN);
        opened.putHeader("Nettlering-Timeout-Millis", String.valueOf(Math.max(1, entryTimeout.toMillis())));
        Future<Answer> answer = onLoop(() -> opened.send(Buffer.buffer(request.body()))
                .compose(response -> response.body().map(body -> Answer.of(response, body))));
        return read(entry, await(entry, answer));
    }

    /** Runs an exchange on the event loop; a callback that is added from another thread can miss the body. */
    private <T> Future<T> onLoop(Supplier<Future<T>> exchange) {
        Promise<T> result = Promise.promise();
        loop.runOnContext(onLoop -> exchange.get().onComplete(result));
        return result.future();
    }

    private static HttpClientRequest connect(InetSocketAddress entry, Future<HttpClientRequest> connecting) {
        try {
            return connecting
                    .toCompletionStage()
                    .toCompletableFuture()
                    .orTimeout(CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .join();
        } catch (RuntimeException exception) {
            throw new OperatorException(
                    ErrorCode.CONNECTION_LOST,
                    "entry " + Addresses.format(entry) + " cannot be reached: " + rootMessage(exception),
                    ExitCode.UNREACHABLE);
        }
    }

    private Answer await(InetSocketAddress entry, Future<Answer> answer) {
        try {
            return answer.toCompletionStage()
                    .toCompletableFuture()
                    .orTimeout(attemptTimeout.toMillis(), TimeUnit.MILLISECONDS)
                    .join();
        } catch (RuntimeException exception) {
            throw new OperatorException(
                    ErrorCode.OUTCOME_UNKNOWN,
                    "the answer of entry " + Addresses.format(entry) + " was lost: " + rootMessage(exception),
                    ExitCode.UNKNOWN_OUTCOME);
        }
    }

    private static String read(InetSocketAddress entry, Answer answer) {
        if (answer.status() < FIRST_ERROR_STATUS) {
            return answer.body();
        }
        ErrorCode code = ErrorCode.fromText(answer.errorCode());
        String message = "entry " + Addresses.format(entry) + ": " + answer.message();
        if (!answer.outcome().equals("not-run")) {
            throw new OperatorException(code, message, ExitCode.UNKNOWN_OUTCOME);
        }
        boolean unavailable = code == ErrorCode.NO_LEADER || code == ErrorCode.NOT_LEADER || code == ErrorCode.STOPPING;
        throw new OperatorException(code, message, unavailable ? ExitCode.UNREACHABLE : ExitCode.FAILURE);
    }

    private static String rootMessage(Throwable error) {
        Throwable cause = error;
        while (cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause instanceof NettleringException || cause.getMessage() != null
                ? String.valueOf(cause.getMessage())
                : cause.getClass().getSimpleName();
    }

    /** An answer with its body read whole. */
    private record Answer(int status, String errorCode, String outcome, String body) {
        static Answer of(HttpClientResponse response, Buffer body) {
            String code = response.getHeader("Nettlering-Error");
            String outcome = response.getHeader("Nettlering-Outcome");
            return new Answer(
                    response.statusCode(),
                    code == null ? "" : code,
                    outcome == null ? "unknown" : outcome,
                    body.toString());
        }

        String message() {
            try {
                JsonObject json = new JsonObject(body);
                String message = json.getString("message", json.getString("errorMessage", ""));
                return message.isEmpty() ? "status " + status : message;
            } catch (DecodeException exception) {
                return "status " + status;
            }
        }
    }
}
