package org.nettlering.entry.callers;

import io.vertx.core.Future;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.Set;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.retry.RequestOutcome;

/**
 * An error response that the entry itself creates.
 *
 * <p>Immutable and thread-safe.
 *
 * @param code the error code, not null
 * @param outcome what is known about the execution of the request, not null
 * @param message the description of the error, not null
 * @param retryAfter when the caller may retry; sent only with a retryable error, not null
 */
record ErrorResponse(ErrorCode code, RequestOutcome outcome, String message, Duration retryAfter) {
    /** Retry delay if admission control gives none. */
    static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final Set<ErrorCode> NON_RETRYABLE_CODES =
            Set.of(ErrorCode.INVALID_ARGUMENT, ErrorCode.TOO_LARGE, ErrorCode.NO_ROUTE, ErrorCode.OPERATION_REUSED);

    static ErrorResponse notRun(ErrorCode code, String message) {
        return new ErrorResponse(code, RequestOutcome.NOT_RUN, message, DEFAULT_RETRY_AFTER);
    }

    static ErrorResponse unknown(ErrorCode code, String message) {
        return new ErrorResponse(code, RequestOutcome.UNKNOWN, message, DEFAULT_RETRY_AFTER);
    }

    /** Writes the response; the future completes when it was sent. */
    Future<Void> write(HttpServerResponse response, boolean closeConnection) {
        response.setStatusCode(code.httpStatus())
                .putHeader(HeaderNames.ERROR, code.text())
                .putHeader(HeaderNames.OUTCOME, outcome.text())
                .putHeader("Content-Type", "application/json");
        if (isRetryable()) {
            response.putHeader(HeaderNames.RETRY_AFTER, Long.toString(retryAfterSeconds()));
        }
        if (closeConnection) {
            response.putHeader("Connection", "close");
        }
        JsonObject body = new JsonObject()
                .put("error", code.text())
                .put("outcome", outcome.text())
                .put("message", message);
        return response.end(body.toBuffer());
    }

    private boolean isRetryable() {
        return outcome == RequestOutcome.NOT_RUN && !NON_RETRYABLE_CODES.contains(code);
    }

    private long retryAfterSeconds() {
        return Math.max(1, (retryAfter.toNanos() + NANOS_PER_SECOND - 1) / NANOS_PER_SECOND);
    }
}
