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
import org.nettlering.domain.time.TimeSource;
import org.nettlering.domain.upstream.UpstreamAddress;
import org.nettlering.entry.EntryEvent;
import org.nettlering.entry.upstreams.AttemptListener;
import org.nettlering.entry.upstreams.SlotWaiter;
import org.nettlering.entry.upstreams.UpstreamAttempt;
import org.nettlering.runtime.log.EventLogger;
import org.nettlering.runtime.trace.Hop;
import org.nettlering.runtime.trace.TraceSpan;

/**
 * One request of a caller, from its head to its answer.
 *
 * <p>Lives on the Vert.x context of the caller's connection: whatever comes from elsewhere is moved there first. Ends exactly
 * once, with an upstream's whole answer, an error answer that says what is known, or a reset of the caller's connection.
 */
final class CallerExchange implements SlotWaiter, AttemptListener, KeyedRequest.Listener {
    private static final EventLogger LOGGER = EventLogger.of(CallerExchange.class);

    /** What the handling needs. */
    private final CallerServices services;

    /** The request. */
    private final HttpServerRequest request;

    /** The answer. */
    private final HttpServerResponse response;

    /** The context of the caller's connection. */
    private final Context context;

    /** When the request came, in monotonic time. */
    private final long startNanos;

    /** The span of the request. */
    private final TraceSpan span;

    /** The attempts that have neither answered nor failed. */
    private final List<UpstreamAttempt> live = new ArrayList<>();

    /** The upstreams that were tried. */
    private final Set<UpstreamAddress> tried = new HashSet<>();

    /** What is needed once the head was accepted. */
    private @Nullable AcceptedRequest accepted;

    /** The key, if the request has to run at most once. */
    private @Nullable KeyedRequest keyed;

    /** The attempts so far. */
    private AttemptHistory history = AttemptHistory.empty();

    /** The attempt whose answer is passed on. */
    private @Nullable UpstreamAttempt winner;

    /** Passes the answer on. */
    private @Nullable AnswerRelay relay;

    /** Fires at the deadline. */
    private TimeSource.@Nullable Timer deadlineTimer;

    /** Fires when a further attempt is worth its cost. */
    private TimeSource.@Nullable Timer patienceTimer;

    /** True while a slot was asked for and neither granted nor refused. */
    private boolean asksForSlot;

    /** True once the exchange has its end. */
    private boolean ended;

    CallerExchange(CallerServices services, HttpServerRequest request, Context context) {
        this.services = services;
        this.request = request;
        this.response = request.response();
        this.context = context;
        this.startNanos = services.time().nanoTime();
        String traceparent = request.getHeader(HeaderNames.TRACEPARENT);
        this.span = services.telemetry().start(Hop.CALLER_TO_ENTRY, traceparent == null ? "" : traceparent);
    }

    void start() {
        services.inFlight().begin();
        request.pause();
        response.exceptionHandler(failure -> callerGone());
        response.closeHandler(nothing -> callerGone());
        try {
            accept();
        } catch (InvalidRequestException exception) {
            refuseInvalid(exception);
        }
    }

    @Override
    public void granted(UpstreamAddress upstream) {
        context.runOnContext(nothing -> takeSlot(upstream));
    }

    @Override
    public void refused(ErrorCode code, Duration retryAfter) {
        context.runOnContext(nothing -> {
            asksForSlot = false;
            if (ended || !live.isEmpty() || winner != null) {
                return;
            }
            String message = "service \"" + serviceName() + "\" cannot answer in time";
            endWithError(new ErrorAnswer(code, history.outcome(), message, retryAfter));
        });
    }

    @Override
    public void keyReserved() {
        if (!ended) {
            askForSlot();
        }
    }

    @Override
    public void answeredBefore(StoredResponse answer) {
        if (ended) {
            return;
        }
        if (answer.isBodyDropped()) {
            String message = "the request ran before, but its answer was too large to be kept";
            endWithError(ErrorAnswer.unknown(ErrorCode.ANSWER_NOT_KEPT, message));
            return;
        }
        response.setStatusCode(answer.status());
        answer.headers().forEach(header -> response.headers().add(header.name(), header.value()));
        response.end(io.vertx.core.buffer.Buffer.buffer(answer.body())).onComplete(written -> endAnswered(null));
    }

    @Override
    public void keyRefused(ErrorAnswer answer) {
        if (!ended) {
            endWithError(answer);
        }
    }

    @Override
    public void answerBegins(UpstreamAttempt attempt, HttpClientResponse upstreamResponse) {
        live.remove(attempt);
        if (ended || winner != null) {
            attempt.cancel();
            release(attempt, new RequestCompletion.UpstreamNotAtFault());
            return;
        }
        winner = attempt;
        dropOtherAttempts();
        Duration responseTime = Duration.ofNanos(services.time().nanoTime() - attempt.startNanos());
        services.serviceLimits().patience(serviceName()).recordResponse(responseTime);
        AnswerRelay passing = new AnswerRelay(
                upstreamResponse, response, services.limits().replayBytes(), keyed != null, new RelayEnd(attempt));
        relay = passing;
        passing.start();
    }

    @Override
    public void attemptFailed(UpstreamAttempt attempt, AttemptOutcome outcome) {
        live.remove(attempt);
        boolean staleConnection = outcome instanceof AttemptOutcome.Unknown && attempt.isOnProvenConnection();
        release(
                attempt,
                staleConnection ? new RequestCompletion.UpstreamNotAtFault() : new RequestCompletion.UpstreamFailed());
        if (ended) {
            return;
        }
        history = history.withOutcome(outcome);
        if (winner != null || !live.isEmpty() || asksForSlot) {
            return;
        }
        decide(outcome);
    }

    private void accept() {
        RequestHead head = RequestHead.parse(request, services.limits().bodyBytes());
        Optional<ErrorCode> refusal = services.gate().refusal();
        if (refusal.isPresent()) {
            endWithError(ErrorAnswer.notRun(refusal.get(), "entry \"" + services.entryId() + "\" takes no request"));
            return;
        }
        SiteConfiguration configuration = services.configuration().current();
        Optional<ServiceDefinition> service = configuration.serviceFor(head.host(), head.path());
        if (service.isEmpty()) {
            endWithError(ErrorAnswer.notRun(ErrorCode.NO_ROUTE, "no service has a route for " + head.path()));
            return;
        }
        begin(head, service.get(), configuration.profiles().get(service.get().profile()));
    }

    private void begin(RequestHead head, ServiceDefinition service, @Nullable Profile profile) {
        Duration timeout = head.timeout().orElse(service.requestTimeout());
        RequestBody body = new RequestBody(
                request, services.limits().replayBytes(), services.limits().bodyBytes());
        int urgency = profile == null ? 0 : profile.urgency();
        AcceptedRequest begun = new AcceptedRequest(head, service, urgency, body, startNanos + timeout.toNanos());
        accepted = begun;
        services.serviceLimits().budget(service.name()).deposit();
        deadlineTimer = services.time().schedule(timeout, () -> context.runOnContext(nothing -> deadlinePassed()));
        body.read().onComplete(read -> {
            if (ended) {
                return;
            }
            if (read.succeeded()) {
                bodyAtHand(begun);
            } else if (read.cause() instanceof InvalidRequestException invalid) {
                refuseInvalid(invalid);
            } else {
                callerGone();
            }
        });
    }

    private void bodyAtHand(AcceptedRequest begun) {
        Optional<String> key = begun.head().idempotencyKey();
        if (begun.head().idempotent() || key.isEmpty()) {
            askForSlot();
            return;
        }
        KeyedRequest reserving = new KeyedRequest(
                services.ledger(),
                services.time(),
                context,
                new LedgerKey(begun.service().name(), key.get()),
                KeyedRequest.digest(begun.head(), begun.body().held()),
                begun.deadlineNanos(),
                span.traceparent(),
                this);
        keyed = reserving;
        reserving.reserve();
    }

    private void askForSlot() {
        AcceptedRequest begun = accepted();
        asksForSlot = true;
        services.desk()
                .submit(
                        new AdmissionRequest<>(
                                this, begun.service().name(), begun.urgency(), begun.deadlineNanos(), tried),
                        begun.service().queueCapacity());
    }

    private void takeSlot(UpstreamAddress upstream) {
        asksForSlot = false;
        if (ended || winner != null) {
            services.desk().release(upstream, serviceName(), new RequestCompletion.UpstreamNotAtFault());
            return;
        }
        tried.add(upstream);
        history = history.withAttempt();
        services.metrics().attempted(serviceName());
        TraceSpan attemptSpan = services.telemetry()
                .start(Hop.ENTRY_TO_UPSTREAM, span.traceparent())
                .attribute("upstream", upstream.toString());
        UpstreamAttempt attempt = new UpstreamAttempt(
                services.pools().pool(upstream), services.time().nanoTime(), attemptSpan, this);
        live.add(attempt);
        // Before the attempt, so that the time counts from before its first byte, and a failure at once sets the next
        // one's.
        startPatience(attempt);
        attempt.start(requestOptions(attemptSpan), this::sendBody);
    }

    private RequestOptions requestOptions(TraceSpan attemptSpan) {
        AcceptedRequest begun = accepted();
        RequestOptions options = new RequestOptions()
                .setMethod(begun.head().method())
                .setURI(begun.head().uri());
        for (Map.Entry<String, String> header : request.headers()) {
            if (begun.head().isPassedOn(header.getKey())) {
                options.addHeader(header.getKey(), header.getValue());
            }
        }
        if (!begun.head().host().isEmpty() && !request.headers().contains("Host")) {
            options.putHeader("Host", begun.head().host());
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
        AcceptedRequest begun = accepted();
        begun.body().sendTo(upstream, begun.head().contentLength());
    }

    private void startPatience(UpstreamAttempt attempt) {
        Duration patience = services.serviceLimits().patience(serviceName()).current();
        patienceTimer =
                services.time().schedule(patience, () -> context.runOnContext(nothing -> losePatience(attempt)));
    }

    /** Tries another upstream beside the one that has not answered, if that is safe and the budget allows it. */
    private void losePatience(UpstreamAttempt attempt) {
        if (ended || !live.contains(attempt)) {
            return;
        }
        replaceSilentConnections(attempt);
        AcceptedRequest begun = accepted();
        boolean safe = begun.head().idempotent() && begun.body().isWhole();
        if (!safe || asksForSlot || history.attempts() >= RetryPolicy.MAXIMUM_ATTEMPTS) {
            return;
        }
        if (services.serviceLimits().budget(serviceName()).tryWithdraw()) {
            askForSlot();
        }
    }

    private void replaceSilentConnections(UpstreamAttempt attempt) {
        if (attempt.isOnProvenConnection()) {
            attempt.replaceConnections();
            services.metrics().connectionsReplaced();
            LOGGER.log(EntryEvent.CONNECTIONS_REPLACED, attempt.upstream());
        }
    }

    private void decide(AttemptOutcome outcome) {
        AcceptedRequest begun = accepted();
        RequestTraits traits =
                new RequestTraits(begun.head().idempotent(), begun.body().isAtHand());
        RetryDecision decision = RetryPolicy.decide(
                outcome, traits, history, remaining(), services.serviceLimits().budget(serviceName()));
        switch (decision) {
            case RetryDecision.Retry retry -> askForSlot();
            case RetryDecision.GiveUp(ErrorCode code, RequestOutcome known) ->
                endWithError(new ErrorAnswer(
                        code,
                        known,
                        "no upstream of service \"" + serviceName() + "\" answered",
                        ErrorAnswer.DEFAULT_RETRY_AFTER));
        }
    }

    private void deadlinePassed() {
        if (ended) {
            return;
        }
        AnswerRelay passing = relay;
        if (passing != null && passing.hasPassedOn()) {
            passing.stop();
            resetCaller();
            return;
        }
        boolean mayHaveRun = winner != null || live.stream().anyMatch(UpstreamAttempt::isSent);
        RequestOutcome outcome = mayHaveRun ? RequestOutcome.UNKNOWN : history.outcome();
        endWithError(new ErrorAnswer(
                ErrorCode.DEADLINE_EXCEEDED,
                outcome,
                "the deadline passed before the answer of service \"" + serviceName() + "\"",
                ErrorAnswer.DEFAULT_RETRY_AFTER));
    }

    /** A request with a key runs on without its caller, so that a resend finds the answer. */
    private void callerGone() {
        if (ended || (keyed != null && (winner != null || !live.isEmpty()))) {
            return;
        }
        end(history.outcome());
    }

    private void refuseInvalid(InvalidRequestException exception) {
        services.metrics().invalidInput(exception.kind());
        LOGGER.log(EntryEvent.INPUT_REFUSED, request.remoteAddress(), String.valueOf(exception.getMessage()));
        endWithError(ErrorAnswer.notRun(exception.code(), String.valueOf(exception.getMessage())));
    }

    private void endWithError(ErrorAnswer answer) {
        services.metrics()
                .refused(serviceName(), answer.code().text(), answer.outcome().text());
        span.attribute("error", answer.code().text());
        if (!response.closed() && !response.ended()) {
            write(answer);
        }
        end(answer.outcome());
    }

    /** Writes an error answer; a connection whose request was not read to its end cannot carry another one. */
    private void write(ErrorAnswer answer) {
        AcceptedRequest begun = accepted;
        boolean unread = begun == null || !begun.body().isWhole();
        boolean closes = unread && request.version() != HttpVersion.HTTP_2;
        answer.write(response, closes).onComplete(written -> {
            if (closes) {
                request.connection().close();
            }
        });
    }

    private void endAnswered(@Nullable StoredResponse answer) {
        double seconds = (services.time().nanoTime() - startNanos) / 1e9;
        services.metrics().answered(serviceName(), seconds);
        KeyedRequest key = keyed;
        if (key != null) {
            key.complete(KeyOutcome.RESPONDED, answer);
        }
        end(RequestOutcome.UNKNOWN);
    }

    private void resetCaller() {
        services.metrics().refused(serviceName(), ErrorCode.UPSTREAM_FAILED.text(), RequestOutcome.UNKNOWN.text());
        response.reset();
        end(RequestOutcome.UNKNOWN);
    }

    private void end(RequestOutcome outcome) {
        if (ended) {
            return;
        }
        ended = true;
        cancel(deadlineTimer);
        boolean mayHaveRun = winner != null || live.stream().anyMatch(UpstreamAttempt::isSent);
        dropOtherAttempts();
        dropWinner();
        KeyedRequest key = keyed;
        if (key != null) {
            boolean notRun = outcome == RequestOutcome.NOT_RUN && !mayHaveRun;
            key.complete(notRun ? KeyOutcome.NOT_RUN : KeyOutcome.UNKNOWN, null);
        }
        span.end();
        services.inFlight().end();
    }

    private void dropOtherAttempts() {
        cancel(patienceTimer);
        if (asksForSlot && services.desk().withdraw(this)) {
            asksForSlot = false;
        }
        List<UpstreamAttempt> dropped = List.copyOf(live);
        live.clear();
        for (UpstreamAttempt attempt : dropped) {
            attempt.cancel();
            release(attempt, blame(attempt));
        }
    }

    /** An upstream that did not answer in time on a new connection is blamed; on a used one, the connection may be. */
    private RequestCompletion blame(UpstreamAttempt attempt) {
        long waited = services.time().nanoTime() - attempt.startNanos();
        Duration patience = services.serviceLimits().patience(serviceName()).current();
        boolean silent = attempt.isSent() && waited >= patience.toNanos();
        return silent && !attempt.isOnProvenConnection()
                ? new RequestCompletion.UpstreamFailed()
                : new RequestCompletion.UpstreamNotAtFault();
    }

    private void dropWinner() {
        UpstreamAttempt attempt = winner;
        if (attempt != null) {
            winner = null;
            attempt.cancel();
            release(attempt, new RequestCompletion.UpstreamNotAtFault());
        }
    }

    private void release(UpstreamAttempt attempt, RequestCompletion end) {
        services.desk().release(attempt.upstream(), serviceName(), end);
    }

    private static void cancel(TimeSource.@Nullable Timer timer) {
        if (timer != null) {
            timer.cancel();
        }
    }

    private Duration remaining() {
        return Duration.ofNanos(accepted().deadlineNanos() - services.time().nanoTime());
    }

    private String serviceName() {
        AcceptedRequest begun = accepted;
        return begun == null ? "" : begun.service().name();
    }

    private AcceptedRequest accepted() {
        AcceptedRequest begun = accepted;
        if (begun == null) {
            throw new IllegalStateException("the request was not accepted yet");
        }
        return begun;
    }

    /** Ends the exchange when its answer has ended. */
    private final class RelayEnd implements AnswerRelay.Listener {
        /** The attempt whose answer it is. */
        private final UpstreamAttempt attempt;

        RelayEnd(UpstreamAttempt attempt) {
            this.attempt = attempt;
        }

        @Override
        public void answerEnded(@Nullable StoredResponse answer) {
            if (ended) {
                return;
            }
            winner = null;
            attempt.succeed();
            Duration responseTime = Duration.ofNanos(services.time().nanoTime() - attempt.startNanos());
            release(attempt, new RequestCompletion.Responded(responseTime));
            endAnswered(answer);
        }

        @Override
        public void answerCut(boolean afterPassingOn) {
            if (ended) {
                return;
            }
            winner = null;
            relay = null;
            attempt.cancel();
            if (afterPassingOn) {
                release(attempt, new RequestCompletion.UpstreamFailed());
                resetCaller();
                return;
            }
            attemptFailed(attempt, new AttemptOutcome.Unknown(ErrorCode.UPSTREAM_FAILED));
        }
    }
}
