package org.nettlering.benchmarks.routing;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.nettlering.benchmarks.routing.ModelSettings.Queueing;
import org.nettlering.benchmarks.routing.ModelSettings.Retries;
import org.nettlering.domain.admission.AdmissionController;
import org.nettlering.domain.admission.AdmissionDecisions;
import org.nettlering.domain.admission.AdmissionRequest;
import org.nettlering.domain.admission.RequestCompletion;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.retry.AdaptiveTimeout;
import org.nettlering.domain.retry.AttemptHistory;
import org.nettlering.domain.retry.AttemptOutcome;
import org.nettlering.domain.retry.RequestTraits;
import org.nettlering.domain.retry.RetryBudget;
import org.nettlering.domain.retry.RetryDecision;
import org.nettlering.domain.retry.RetryPolicy;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.domain.upstream.UpstreamAddress;
import org.nettlering.domain.upstream.UpstreamAnnouncement;

/** One entry: the real admission control, router and retry policy around modelled messages. */
final class ModelEntry {
    /** The service whose profile is not urgent. */
    static final String BATCH = "batch";

    /** The service whose profile is urgent. */
    static final String URGENT = "urgent";

    private static final int URGENT_URGENCY = 90;
    private static final int BATCH_URGENCY = 10;
    private static final int MAXIMUM_WAITING = 2_000;

    /** The id of the entry. */
    private final String id;

    /** What the run is about. */
    private final ModelSettings settings;

    /** The clock, which is also the queue of events. */
    private final ManualTime time;

    /** Counts. */
    private final ModelReport report;

    /** The instances by address. */
    private final Map<UpstreamAddress, ModelUpstream> upstreams;

    /** Decides who runs where. */
    private final AdmissionController<ModelRequest> admission;

    /** Bounds further attempts. */
    private final RetryBudget budget = RetryBudget.create();

    /** When a further attempt is worth its cost. */
    private final AdaptiveTimeout patience = AdaptiveTimeout.create();

    /** Called when a request had to wait. */
    private Runnable whenWaiting = () -> {};

    /** Called with each peer that got a slot back. */
    private Consumer<String> whenReturned = peer -> {};

    /** False once the entry is lost. */
    private boolean alive = true;

    ModelEntry(
            String id,
            ModelSettings settings,
            ManualTime time,
            Random random,
            ModelReport report,
            Map<UpstreamAddress, ModelUpstream> upstreams) {
        this.id = id;
        this.settings = settings;
        this.time = time;
        this.report = report;
        this.upstreams = upstreams;
        admission = AdmissionController.of(id, settings.policy(), MAXIMUM_WAITING, time, random);
    }

    String id() {
        return id;
    }

    boolean isAlive() {
        return alive;
    }

    AdmissionController<ModelRequest> admission() {
        return admission;
    }

    void whenWaiting(Runnable action) {
        whenWaiting = action;
    }

    void whenReturned(Consumer<String> action) {
        whenReturned = action;
    }

    /** Loses the entry with everything that it has in flight. */
    void lose() {
        alive = false;
    }

    void setUpstreams(List<UpstreamAnnouncement> announcements) {
        admission.setUpstreams(BATCH, announcements);
        admission.setUpstreams(URGENT, announcements);
    }

    void take(ModelRequest request) {
        report.arrive();
        budget.deposit();
        submit(request);
    }

    void refresh() {
        carryOut(admission.reevaluateQueues());
    }

    void carryOut(AdmissionDecisions<ModelRequest> decisions) {
        if (!alive) {
            return;
        }
        decisions.grants().forEach(grant -> dispatch(grant.payload(), grant.upstream()));
        decisions.rejections().forEach(refusal -> refuse(refusal.payload()));
        decisions.reclaimingPeers().forEach(whenReturned);
    }

    private void submit(ModelRequest request) {
        request.setWaiting(true);
        AdmissionRequest<ModelRequest> ticket = new AdmissionRequest<>(
                request,
                request.isUrgent() ? URGENT : BATCH,
                request.isUrgent() ? URGENT_URGENCY : BATCH_URGENCY,
                settings.queueing() == Queueing.BY_DEADLINE ? request.deadlineNanos() : Long.MAX_VALUE / 2,
                request.tried());
        int capacity = settings.queueing() == Queueing.BY_DEADLINE ? ModelSettings.QUEUE_CAPACITY : Integer.MAX_VALUE;
        carryOut(admission.submit(ticket, capacity));
        if (request.isWaiting()) {
            whenWaiting.run();
        }
    }

    private void refuse(ModelRequest request) {
        request.setWaiting(false);
        if (request.isEnded() || request.live() > 0) {
            return;
        }
        request.end();
        report.refuse();
    }

    private void dispatch(ModelRequest request, UpstreamAddress address) {
        request.setWaiting(false);
        if (request.isEnded()) {
            release(request, address, new RequestCompletion.UpstreamNotAtFault());
            return;
        }
        ModelUpstream upstream = upstreams.get(address);
        if (upstream == null) {
            throw new IllegalStateException("no instance at " + address);
        }
        long sentNanos = time.nanoTime();
        if (request.history().attempts() == 0) {
            report.waited(Duration.ofNanos(sentNanos - request.arrivedNanos()));
        }
        request.tried().add(address);
        request.setHistory(request.history().withAttempt());
        request.addLive(1);
        report.attempt();
        time.schedule(ModelSettings.LATENCY, () -> reach(request, upstream, sentNanos));
        if (settings.retries() == Retries.BUDGETED) {
            time.schedule(patience.current(), () -> losePatience(request));
        }
    }

    private void reach(ModelRequest request, ModelUpstream upstream, long sentNanos) {
        if (upstream.isDown()) {
            time.schedule(ModelSettings.LATENCY, () -> fail(request, upstream.address()));
            return;
        }
        upstream.receive(
                request.work(),
                ran -> time.schedule(ModelSettings.LATENCY, () -> answer(request, upstream.address(), sentNanos, ran)));
    }

    private void answer(ModelRequest request, UpstreamAddress address, long sentNanos, Duration ran) {
        if (!alive) {
            return;
        }
        Duration responseTime = Duration.ofNanos(time.nanoTime() - sentNanos);
        patience.recordResponse(responseTime);
        request.addLive(-1);
        release(request, address, new RequestCompletion.Responded(responseTime));
        if (request.isEnded()) {
            return;
        }
        request.end();
        if (request.isWaiting()) {
            admission.withdraw(request);
        }
        report.answer(Duration.ofNanos(time.nanoTime() - request.arrivedNanos()), ran, request.isUrgent());
    }

    private void fail(ModelRequest request, UpstreamAddress address) {
        if (!alive) {
            return;
        }
        request.addLive(-1);
        release(request, address, new RequestCompletion.UpstreamFailed());
        if (request.isEnded() || request.live() > 0 || request.isWaiting()) {
            return;
        }
        if (mayRetry(request)) {
            submit(request);
            return;
        }
        request.end();
        report.fail();
    }

    private boolean mayRetry(ModelRequest request) {
        return switch (settings.retries()) {
            case OFF -> false;
            case FIXED -> request.history().attempts() < RetryPolicy.MAXIMUM_ATTEMPTS;
            case BUDGETED -> {
                AttemptHistory history = request.history();
                Duration remaining = Duration.ofNanos(request.deadlineNanos() - time.nanoTime());
                yield RetryPolicy.decide(
                                new AttemptOutcome.NotRun(ErrorCode.CONNECTION_LOST),
                                new RequestTraits(true, true),
                                history,
                                remaining,
                                budget)
                        instanceof RetryDecision.Retry;
            }
        };
    }

    private void losePatience(ModelRequest request) {
        boolean open = alive && !request.isEnded() && !request.isWaiting() && request.live() > 0;
        if (open && request.history().attempts() < RetryPolicy.MAXIMUM_ATTEMPTS && budget.tryWithdraw()) {
            submit(request);
        }
    }

    private void release(ModelRequest request, UpstreamAddress address, RequestCompletion end) {
        carryOut(admission.release(address, request.isUrgent() ? URGENT : BATCH, end));
    }
}
