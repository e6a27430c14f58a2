package org.nettlering.entry.callers;

import io.vertx.core.Context;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.admission.AdmissionRequest;
import org.nettlering.domain.admission.RequestCompletion;
import org.nettlering.domain.configuration.Profile;
import org.nettlering.domain.configuration.ServiceDefinition;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.ledger.KeyOutcome;
import org.nettlering.domain.ledger.LedgerKey;
import org.nettlering.domain.ledger.StoredResponse;
import org.nettlering.domain.retry.AttemptHistory;
import org.nettlering.domain.retry.AttemptOutcome;
import org.nettlering.domain.retry.RequestOutcome;
import org.nettlering.domain.retry.RequestTraits;
import org.nettlering.domain.retry.RetryDecision;
import org.nettlering.domain.retry.RetryPolicy;
import org.nettlering.domain.time.TimeMark;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.domain.upstream.UpstreamAddress;
import org.nettlering.entry.EntryEvent;
import org.nettlering.entry.upstreams.AttemptListener;
import org.nettlering.entry.upstreams.SlotRequest;
import org.nettlering.entry.upstreams.UpstreamAttempt;
import org.nettlering.runtime.log.EventLogger;
import org.nettlering.runtime.trace.Hop;
import org.nettlering.runtime.trace.TraceSpan;

/**
 * Handles one request of a caller, from its head to its response.
 *
 * <p>Ends exactly once. Unless the caller disconnects, it ends with one of:
 *
 * <ul>
 *   <li>the complete response of an upstream, or the stored response of an earlier run of the same key;
 *   <li>an error response that states what is known about the request;
 *   <li>a reset of the caller's connection, if a part of a response was sent already.
 * </ul>
 *
 * <p>Confined to the Vert.x context of the caller's connection; calls from other threads are transferred to it.
 */
final class CallerExchange implements SlotRequest, AttemptListener, KeyedRequest.Listener {
    private static final EventLogger LOGGER = EventLogger.of(CallerExchange.class);

    private final CallerServices services;
    private final HttpServerRequest request;
    private final HttpServerResponse response;
    private final Context context;

    /** When the request arrived, in monotonic time. */
    private final long startNanos;

    /** When the request arrived, by both clocks; its deadline also passes while the host is suspended. */
    private final TimeMark startedAt;

    private final TraceSpan span;

    /** The attempts that have neither responded nor failed. */
    private final List<UpstreamAttempt> inFlightAttempts = new ArrayList<>();

    private final Set<UpstreamAddress> triedUpstreams = new HashSet<>();

    /** Null until the head is accepted. */
    private @Nullable AcceptedRequest acceptedRequest;

    /** The reservation of the idempotency key, null if the request has none or does not need it. */
    private @Nullable KeyedRequest keyedRequest;

    private AttemptHistory history = AttemptHistory.empty();

    /** The attempt whose response is relayed to the caller. */
    private @Nullable UpstreamAttempt respondingAttempt;

    private @Nullable ResponseRelay relay;
    private TimeSource.@Nullable Timer deadlineTimer;

    /** Fires when an attempt exceeds the adaptive timeout, so that a second one may be started beside it. */
    private TimeSource.@Nullable Timer hedgeTimer;

    /** True while a slot request is neither granted nor rejected. */
    private boolean slotRequested;

    private boolean ended;

    CallerExchange(CallerServices services, HttpServerRequest request, Context context) {
        this.services = services;
        this.request = request;
        this.response = request.response();
        this.context = context;
        this.startNanos = services.time().nanoTime();
        this.startedAt = TimeMark.now(services.time());
        String traceparent = request.getHeader(HeaderNames.TRACEPARENT);
        this.span = services.telemetry().start(Hop.CALLER_TO_ENTRY, traceparent == null ? "" : traceparent);
    }

    void start() {
        services.inFlightRequests().increment();
        request.pause();
        response.exceptionHandler(failure -> callerDisconnected());
        response.closeHandler(nothing -> callerDisconnected());
        try {
            accept();
        } catch (InvalidRequestException exception) {
            rejectInvalid(exception);
        }
    }

    @Override
    public void onGranted(UpstreamAddress upstream) {
        context.runOnContext(nothing -> startAttempt(upstream));
    }

    @Override
    public void onRejected(ErrorCode code, Duration retryAfter) {
        context.runOnContext(nothing -> {
            slotRequested = false;
            if (ended || !inFlightAttempts.isEmpty() || respondingAttempt != null) {
                return;
            }
            String message = "service \"" + serviceName() + "\" cannot respond before the deadline";
            endWithError(new ErrorResponse(code, history.outcome(), message, retryAfter));
        });
    }

    @Override
    public void onKeyReserved() {
        if (!ended) {
            requestSlot();
        }
    }

    @Override
    public void onStoredResponse(StoredResponse storedResponse) {
        if (ended) {
            return;
        }
        if (storedResponse.isBodyDropped()) {
            String message = "the request ran before, but its response was too large to be stored";
            endWithError(ErrorResponse.unknown(ErrorCode.ANSWER_NOT_KEPT, message));
            return;
        }
        response.setStatusCode(storedResponse.status());
        storedResponse.headers().forEach(header -> response.headers().add(header.name(), header.value()));
        response.end(io.vertx.core.buffer.Buffer.buffer(storedResponse.body()))
                .onComplete(written -> endWithResponse(null));
    }

    @Override
    public void onKeyRejected(ErrorResponse errorResponse) {
        if (!ended) {
            endWithError(errorResponse);
        }
    }

    @Override
    public void onResponseHead(UpstreamAttempt attempt, HttpClientResponse upstreamResponse) {
        inFlightAttempts.remove(attempt);
        if (ended || respondingAttempt != null) {
            attempt.cancel();
            release(attempt, new RequestCompletion.UpstreamNotAtFault());
            return;
        }
        respondingAttempt = attempt;
        cancelOtherAttempts();
        Duration responseTime = Duration.ofNanos(services.time().nanoTime() - attempt.startNanos());
        services.retryLimits().adaptiveTimeout(serviceName()).recordResponse(responseTime);
        ResponseRelay activeRelay = new ResponseRelay(
                upstreamResponse,
                response,
                services.limits().maxReplayBytes(),
                keyedRequest != null,
                new RelayCompletion(attempt));
        relay = activeRelay;
        activeRelay.start();
    }

    @Override
    public void onAttemptFailed(UpstreamAttempt attempt, AttemptOutcome outcome) {
        inFlightAttempts.remove(attempt);
        boolean possiblyStaleConnection = outcome instanceof AttemptOutcome.Unknown && attempt.isOnReusedConnection();
        release(
                attempt,
                possiblyStaleConnection
                        ? new RequestCompletion.UpstreamNotAtFault()
                        : new RequestCompletion.UpstreamFailed());
        if (ended) {
            return;
        }
        history = history.withOutcome(outcome);
        if (respondingAttempt != null || !inFlightAttempts.isEmpty() || slotRequested) {
            return;
        }
        decideRetry(outcome);
    }

    private void accept() {
        RequestHead head = RequestHead.parse(request, services.limits().maxBodyBytes());
        Optional<ErrorCode> rejection = services.acceptanceGate().rejectionCode();
        if (rejection.isPresent()) {
            endWithError(ErrorResponse.notRun(
                    rejection.get(), "entry \"" + services.entryId() + "\" does not accept requests"));
            return;
        }
        SiteConfiguration configuration = services.configuration().current();
        Optional<ServiceDefinition> service = configuration.findService(head.host(), head.path());
        if (service.isEmpty()) {
            endWithError(ErrorResponse.notRun(ErrorCode.NO_ROUTE, "no service has a route for " + head.path()));
            return;
        }
        readBody(head, service.get(), configuration.profiles().get(service.get().profile()));
    }

    private void readBody(RequestHead head, ServiceDefinition service, @Nullable Profile profile) {
        Duration timeout = head.timeout().orElse(service.requestTimeout());
        RequestBody body = new RequestBody(
                request, services.limits().maxReplayBytes(), services.limits().maxBodyBytes());
        int urgency = profile == null ? 0 : profile.urgency();
        AcceptedRequest accepted = new AcceptedRequest(head, service, urgency, body, startNanos + timeout.toNanos());
        acceptedRequest = accepted;
        services.retryLimits().budget(service.name()).deposit();
        deadlineTimer = services.time().schedule(timeout, () -> context.runOnContext(nothing -> deadlinePassed()));
        body.read().onComplete(read -> {
            if (ended) {
                return;
            }
            if (read.succeeded()) {
                bodyAvailable(accepted);
            } else if (read.cause() instanceof InvalidRequestException invalid) {
                rejectInvalid(invalid);
            } else {
                callerDisconnected();
            }
        });
    }

    private void bodyAvailable(AcceptedRequest accepted) {
        Optional<String> key = accepted.head().idempotencyKey();
        if (accepted.head().idempotent() || key.isEmpty()) {
            requestSlot();
            return;
        }
        KeyedRequest reservation = new KeyedRequest(
                services.ledger(),
                services.time(),
                context,
                new LedgerKey(accepted.service().name(), key.get()),
                KeyedRequest.digest(accepted.head(), accepted.body().buffered()),
                accepted.deadlineNanos(),
                span.traceparent(),
                this);
        keyedRequest = reservation;
        reservation.reserve();
    }

    private void requestSlot() {
        AcceptedRequest accepted = acceptedRequest();
        slotRequested = true;
        services.slotAllocator()
                .submit(
                        new AdmissionRequest<>(
                                this,
                                accepted.service().name(),
                                accepted.urgency(),
                                accepted.deadlineNanos(),
                                triedUpstreams),
                        accepted.service().queueCapacity());
    }

    private void startAttempt(UpstreamAddress upstream) {
        slotRequested = false;
        if (ended || respondingAttempt != null) {
            services.slotAllocator().release(upstream, serviceName(), new RequestCompletion.UpstreamNotAtFault());
            return;
        }
        if (!remaining().isPositive()) {
            services.slotAllocator().release(upstream, serviceName(), new RequestCompletion.UpstreamNotAtFault());
            deadlinePassed();
            return;
        }
        triedUpstreams.add(upstream);
        history = history.withAttempt();
        services.metrics().recordAttempt(serviceName());
        TraceSpan attemptSpan = services.telemetry()
                .start(Hop.ENTRY_TO_UPSTREAM, span.traceparent())
                .attribute("upstream", upstream.toString());
        UpstreamAttempt attempt = new UpstreamAttempt(
                services.pools().pool(upstream), services.time().nanoTime(), attemptSpan, this);
        inFlightAttempts.add(attempt);
        // Set before the attempt starts: the delay counts from before the first byte, and if the attempt fails
        // immediately, the timer of the next attempt must be the last one set.
        startHedgeTimer(attempt);
        attempt.start(requestOptions(attemptSpan), this::sendBody);
    }

    private RequestOptions requestOptions(TraceSpan attemptSpan) {
        AcceptedRequest accepted = acceptedRequest();
        RequestOptions options = new RequestOptions()
                .setMethod(accepted.head().method())
                .setURI(accepted.head().uri());
        for (Map.Entry<String, String> header : request.headers()) {
            if (accepted.head().isForwarded(header.getKey())) {
                options.addHeader(header.getKey(), header.getValue());
            }
        }
        if (!accepted.head().host().isEmpty() && !request.headers().contains("Host")) {
            options.putHeader("Host", accepted.head().host());
        }
        options.putHeader(
                HeaderNames.TIMEOUT_MILLIS,
                Long.toString(Math.max(1, remaining().toMillis())));
        options.putHeader(HeaderNames.ATTEMPT, Integer.toString(history.attempts()));
        options.putHeader(HeaderNames.ENTRY, services.entryId());
        if (!attemptSpan.traceparent().isEmpty()) {
            options.putHeader(HeaderNames.TRACEPARENT, attemptSpan.traceparent());
        }
        return options;
    }

    private void sendBody(HttpClientRequest upstream) {
        AcceptedRequest accepted = acceptedRequest();
        accepted.body().sendTo(upstream, accepted.head().contentLength());
    }

    private void startHedgeTimer(UpstreamAttempt attempt) {
        Duration adaptiveTimeout =
                services.retryLimits().adaptiveTimeout(serviceName()).current();
        hedgeTimer = services.time()
                .schedule(adaptiveTimeout, () -> context.runOnContext(nothing -> hedgeDelayElapsed(attempt)));
    }

    /** Hedges: tries a second upstream while the first has not responded, if that is safe and the retry budget allows it. */
    private void hedgeDelayElapsed(UpstreamAttempt attempt) {
        if (ended || !inFlightAttempts.contains(attempt)) {
            return;
        }
        replaceUnresponsiveConnections(attempt);
        AcceptedRequest accepted = acceptedRequest();
        boolean safeToHedge = accepted.head().idempotent() && accepted.body().isComplete();
        if (!safeToHedge || slotRequested || history.attempts() >= RetryPolicy.MAXIMUM_ATTEMPTS) {
            return;
        }
        if (services.retryLimits().budget(serviceName()).tryWithdraw()) {
            requestSlot();
        }
    }

    private void replaceUnresponsiveConnections(UpstreamAttempt attempt) {
        if (attempt.isOnReusedConnection()) {
            attempt.replaceConnections();
            services.metrics().recordConnectionsReplaced();
            LOGGER.log(EntryEvent.CONNECTIONS_REPLACED, attempt.upstream());
        }
    }

    private void decideRetry(AttemptOutcome outcome) {
        AcceptedRequest accepted = acceptedRequest();
        RequestTraits traits =
                new RequestTraits(accepted.head().idempotent(), accepted.body().isReplayable());
        RetryDecision decision = RetryPolicy.decide(
                outcome, traits, history, remaining(), services.retryLimits().budget(serviceName()));
        switch (decision) {
            case RetryDecision.Retry retry -> requestSlot();
            case RetryDecision.GiveUp(ErrorCode code, RequestOutcome requestOutcome) ->
                endWithError(new ErrorResponse(
                        code,
                        requestOutcome,
                        "no upstream of service \"" + serviceName() + "\" responded",
                        ErrorResponse.DEFAULT_RETRY_AFTER));
        }
    }

    private void deadlinePassed() {
        if (ended) {
            return;
        }
        ResponseRelay activeRelay = relay;
        if (activeRelay != null && activeRelay.hasSentHead()) {
            activeRelay.stop();
            resetCaller();
            return;
        }
        boolean mayHaveRun =
                respondingAttempt != null || inFlightAttempts.stream().anyMatch(UpstreamAttempt::isSent);
        RequestOutcome outcome = mayHaveRun ? RequestOutcome.UNKNOWN : history.outcome();
        endWithError(new ErrorResponse(
                ErrorCode.DEADLINE_EXCEEDED,
                outcome,
                "the deadline passed before a response of service \"" + serviceName() + "\"",
                ErrorResponse.DEFAULT_RETRY_AFTER));
    }

    /** A dispatched request with an idempotency key continues without its caller, so that a resend gets the response. */
    private void callerDisconnected() {
        if (ended || (keyedRequest != null && (respondingAttempt != null || !inFlightAttempts.isEmpty()))) {
            return;
        }
        end(history.outcome());
    }

    private void rejectInvalid(InvalidRequestException exception) {
        services.metrics().recordInvalidInput(exception.kind());
        LOGGER.log(
                EntryEvent.INVALID_REQUEST_REJECTED, request.remoteAddress(), String.valueOf(exception.getMessage()));
        endWithError(ErrorResponse.notRun(exception.code(), String.valueOf(exception.getMessage())));
    }

    private void endWithError(ErrorResponse errorResponse) {
        services.metrics()
                .recordFailure(
                        serviceName(),
                        errorResponse.code().text(),
                        errorResponse.outcome().text());
        span.attribute("error", errorResponse.code().text());
        if (!response.closed() && !response.ended()) {
            write(errorResponse);
        }
        end(errorResponse.outcome());
    }

    /**
     * Writes an error response. An HTTP/1.1 connection whose request body was not read to its end cannot carry another
     * request and is closed.
     */
    private void write(ErrorResponse errorResponse) {
        AcceptedRequest accepted = acceptedRequest;
        boolean bodyUnread = accepted == null || !accepted.body().isComplete();
        boolean closesConnection = bodyUnread && request.version() != HttpVersion.HTTP_2;
        errorResponse.write(response, closesConnection).onComplete(written -> {
            if (closesConnection) {
                request.connection().close();
            }
        });
    }

    private void endWithResponse(@Nullable StoredResponse storedResponse) {
        double seconds = (services.time().nanoTime() - startNanos) / 1e9;
        services.metrics().recordResponse(serviceName(), seconds);
        KeyedRequest key = keyedRequest;
        if (key != null) {
            key.complete(KeyOutcome.RESPONDED, storedResponse);
        }
        end(RequestOutcome.UNKNOWN);
    }

    private void resetCaller() {
        services.metrics()
                .recordFailure(serviceName(), ErrorCode.UPSTREAM_FAILED.text(), RequestOutcome.UNKNOWN.text());
        response.reset();
        end(RequestOutcome.UNKNOWN);
    }

    private void end(RequestOutcome outcome) {
        if (ended) {
            return;
        }
        ended = true;
        cancel(deadlineTimer);
        boolean mayHaveRun =
                respondingAttempt != null || inFlightAttempts.stream().anyMatch(UpstreamAttempt::isSent);
        cancelOtherAttempts();
        cancelRespondingAttempt();
        KeyedRequest key = keyedRequest;
        if (key != null) {
            boolean notRun = outcome == RequestOutcome.NOT_RUN && !mayHaveRun;
            key.complete(notRun ? KeyOutcome.NOT_RUN : KeyOutcome.UNKNOWN, null);
        }
        span.end();
        services.inFlightRequests().decrement();
    }

    private void cancelOtherAttempts() {
        cancel(hedgeTimer);
        if (slotRequested && services.slotAllocator().withdraw(this)) {
            slotRequested = false;
        }
        List<UpstreamAttempt> cancelled = List.copyOf(inFlightAttempts);
        inFlightAttempts.clear();
        for (UpstreamAttempt attempt : cancelled) {
            attempt.cancel();
            release(attempt, completionOfCancelled(attempt));
        }
    }

    /**
     * Counts a timeout as a failure of the upstream only on a new connection; on a reused one the connection itself may have
     * failed.
     */
    private RequestCompletion completionOfCancelled(UpstreamAttempt attempt) {
        long waitedNanos = services.time().nanoTime() - attempt.startNanos();
        Duration adaptiveTimeout =
                services.retryLimits().adaptiveTimeout(serviceName()).current();
        boolean timedOut = attempt.isSent() && waitedNanos >= adaptiveTimeout.toNanos();
        return timedOut && !attempt.isOnReusedConnection()
                ? new RequestCompletion.UpstreamFailed()
                : new RequestCompletion.UpstreamNotAtFault();
    }

    private void cancelRespondingAttempt() {
        UpstreamAttempt attempt = respondingAttempt;
        if (attempt != null) {
            respondingAttempt = null;
            attempt.cancel();
            release(attempt, new RequestCompletion.UpstreamNotAtFault());
        }
    }

    private void release(UpstreamAttempt attempt, RequestCompletion completion) {
        services.slotAllocator().release(attempt.upstream(), serviceName(), completion);
    }

    private static void cancel(TimeSource.@Nullable Timer timer) {
        if (timer != null) {
            timer.cancel();
        }
    }

    private Duration remaining() {
        Duration timeout = Duration.ofNanos(acceptedRequest().deadlineNanos() - startNanos);
        return timeout.minus(startedAt.elapsed(services.time()));
    }

    private String serviceName() {
        AcceptedRequest accepted = acceptedRequest;
        return accepted == null ? "" : accepted.service().name();
    }

    private AcceptedRequest acceptedRequest() {
        AcceptedRequest accepted = acceptedRequest;
        if (accepted == null) {
            throw new IllegalStateException("the head of the request was not accepted yet");
        }
        return accepted;
    }

    /** Ends the exchange, or retries, when the relay has finished. */
    private final class RelayCompletion implements ResponseRelay.Listener {
        private final UpstreamAttempt attempt;

        RelayCompletion(UpstreamAttempt attempt) {
            this.attempt = attempt;
        }

        @Override
        public void onResponseComplete(@Nullable StoredResponse storedResponse) {
            if (ended) {
                return;
            }
            respondingAttempt = null;
            attempt.succeed();
            Duration responseTime = Duration.ofNanos(services.time().nanoTime() - attempt.startNanos());
            release(attempt, new RequestCompletion.Responded(responseTime));
            endWithResponse(storedResponse);
        }

        @Override
        public void onResponseTruncated(boolean headSent) {
            if (ended) {
                return;
            }
            respondingAttempt = null;
            relay = null;
            attempt.cancel();
            if (headSent) {
                release(attempt, new RequestCompletion.UpstreamFailed());
                resetCaller();
                return;
            }
            onAttemptFailed(attempt, new AttemptOutcome.Unknown(ErrorCode.UPSTREAM_FAILED));
        }
    }
}
