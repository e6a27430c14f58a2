package org.nettlering.entry.callers;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.HostAndPort;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.ledger.LedgerKey;

/**
 * The validated head of a caller's request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param method the HTTP method, not null
 * @param uri the path and query as received, not null
 * @param host the host without port, empty if the request names none, not null
 * @param path the path, not null
 * @param timeout how long the caller waits for a response, empty if not specified, not null
 * @param idempotent true if the request may run more than once
 * @param idempotencyKey the key of a request that must run at most once, empty if none, not null
 * @param contentLength the length of the body in bytes, or -1 if unknown
 * @param hopByHopHeaders the lower-case names that the Connection header lists; these headers are not forwarded, not
 *     null
 */
record RequestHead(
        HttpMethod method,
        String uri,
        String host,
        String path,
        Optional<Duration> timeout,
        boolean idempotent,
        Optional<String> idempotencyKey,
        long contentLength,
        Set<String> hopByHopHeaders) {
    private static final long MAXIMUM_TIMEOUT_MILLIS = Duration.ofHours(1).toMillis();
    private static final int MAXIMUM_DIGITS = 18;
    private static final Set<HttpMethod> IDEMPOTENT_METHODS =
            Set.of(HttpMethod.GET, HttpMethod.HEAD, HttpMethod.PUT, HttpMethod.DELETE, HttpMethod.OPTIONS);
    private static final Set<HttpMethod> REJECTED_METHODS = Set.of(HttpMethod.CONNECT, HttpMethod.TRACE);

    /**
     * Validates and parses the head of a request.
     *
     * @param request the request, not null
     * @param maximumBodyBytes the longest body that is accepted
     * @return the head, never null
     * @throws InvalidRequestException {@code INVALID_ARGUMENT} or {@code TOO_LARGE} when the head is invalid
     */
    static RequestHead parse(HttpServerRequest request, long maximumBodyBytes) {
        MultiMap headers = request.headers();
        Set<String> hopByHopHeaders = hopByHopHeaders(headers);
        rejectForgedHeaders(headers, hopByHopHeaders);
        if (REJECTED_METHODS.contains(request.method())) {
            throw new InvalidRequestException(
                    ErrorCode.INVALID_ARGUMENT, "method", "method " + request.method() + " is not accepted");
        }
        String path = request.path();
        if (path == null || !path.startsWith("/")) {
            throw new InvalidRequestException(ErrorCode.INVALID_ARGUMENT, "path", "the path does not start with \"/\"");
        }
        HostAndPort authority = request.authority();
        Optional<String> key = singleValue(headers, HeaderNames.IDEMPOTENCY_KEY);
        key.ifPresent(RequestHead::validateKey);
        return new RequestHead(
                request.method(),
                request.uri(),
                authority == null ? "" : authority.host(),
                path,
                timeout(headers),
                idempotent(headers, request.method()),
                key,
                contentLength(headers, maximumBodyBytes),
                hopByHopHeaders);
    }

    private static Set<String> hopByHopHeaders(MultiMap headers) {
        Set<String> names = new HashSet<>();
        for (String value : headers.getAll("Connection")) {
            for (String name : value.split(",", -1)) {
                names.add(name.strip().toLowerCase(Locale.ROOT));
            }
        }
        return names;
    }

    private static void rejectForgedHeaders(MultiMap headers, Set<String> hopByHopHeaders) {
        for (String name : HeaderNames.WRITTEN_BY_ENTRY) {
            if (headers.contains(name)) {
                throw new InvalidRequestException(
                        ErrorCode.INVALID_ARGUMENT,
                        "forged_header",
                        "header " + name + " is not accepted from callers");
            }
        }
        for (String name : hopByHopHeaders) {
            if (HeaderNames.NEVER_HOP_BY_HOP.contains(name)) {
                throw new InvalidRequestException(
                        ErrorCode.INVALID_ARGUMENT, "forged_header", "header Connection must not name " + name);
            }
        }
    }

    private static void validateKey(String key) {
        if (key.isBlank() || key.length() > LedgerKey.MAXIMUM_KEY_CHARACTERS) {
            throw new InvalidRequestException(
                    ErrorCode.INVALID_ARGUMENT,
                    "idempotency_key",
                    "header Idempotency-Key is blank or has more characters than " + LedgerKey.MAXIMUM_KEY_CHARACTERS);
        }
    }

    private static Optional<Duration> timeout(MultiMap headers) {
        return singleValue(headers, HeaderNames.TIMEOUT_MILLIS).map(text -> {
            long millis = parseDigits(text);
            if (millis < 1 || millis > MAXIMUM_TIMEOUT_MILLIS) {
                throw new InvalidRequestException(
                        ErrorCode.INVALID_ARGUMENT,
                        "timeout",
                        "header " + HeaderNames.TIMEOUT_MILLIS + " is not a number from 1 to "
                                + MAXIMUM_TIMEOUT_MILLIS);
            }
            return Duration.ofMillis(millis);
        });
    }

    private static boolean idempotent(MultiMap headers, HttpMethod method) {
        return singleValue(headers, HeaderNames.IDEMPOTENT)
                .map(text -> switch (text) {
                    case "true" -> true;
                    case "false" -> false;
                    default ->
                        throw new InvalidRequestException(
                                ErrorCode.INVALID_ARGUMENT,
                                "idempotent",
                                "header " + HeaderNames.IDEMPOTENT + " is neither true nor false");
                })
                .orElse(IDEMPOTENT_METHODS.contains(method));
    }

    private static long contentLength(MultiMap headers, long maximumBodyBytes) {
        Optional<String> text = singleValue(headers, "Content-Length");
        if (text.isEmpty()) {
            return -1;
        }
        long length = parseDigits(text.get());
        if (length < 0) {
            throw new InvalidRequestException(
                    ErrorCode.INVALID_ARGUMENT, "content_length", "header Content-Length is not a number");
        }
        if (length > maximumBodyBytes) {
            throw new InvalidRequestException(
                    ErrorCode.TOO_LARGE,
                    "body_too_large",
                    "the body of " + length + " bytes is larger than the maximum of " + maximumBodyBytes);
        }
        return length;
    }

    private static Optional<String> singleValue(MultiMap headers, String name) {
        List<String> values = headers.getAll(name);
        if (values.size() > 1) {
            throw new InvalidRequestException(
                    ErrorCode.INVALID_ARGUMENT, "repeated_header", "header " + name + " is given more than once");
        }
        return values.isEmpty() ? Optional.empty() : Optional.of(values.get(0));
    }

    private static long parseDigits(@Nullable String text) {
        if (text == null || text.isEmpty() || text.length() > MAXIMUM_DIGITS) {
            return -1;
        }
        return text.chars().allMatch(character -> character >= '0' && character <= '9') ? Long.parseLong(text) : -1;
    }

    boolean isForwarded(String headerName) {
        return !HeaderNames.isHopByHop(headerName) && !hopByHopHeaders.contains(headerName.toLowerCase(Locale.ROOT));
    }
}
