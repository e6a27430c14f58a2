package org.nettlering.entry.callers;

import io.vertx.core.Future;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.Set;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.retry.RequestOutcome;

/**
 * An answer that is not an upstream's.
 *
 * <p>Immutable and thread-safe.
 *
 * @param code the stable code, not null
 * @param outcome what is known of the request, not null
 * @param message what is wrong, not null
 * @param retryAfter when the caller may come back; used for refusals, not null
 */
record ErrorResponse(ErrorCode code, RequestOutcome outcome, String message, Duration retryAfter) {
    /** When a caller may come back if nothing was measured. */
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

    /** Writes the answer; completes when it has left. */
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
