package org.nettlering.entry.upstreams;

import java.util.function.Consumer;
import java.util.function.Function;
import org.nettlering.domain.admission.AdmissionController;
import org.nettlering.domain.admission.AdmissionDecisions;
import org.nettlering.domain.admission.AdmissionRequest;
import org.nettlering.domain.admission.RequestCompletion;
import org.nettlering.domain.routing.SlotTable;
import org.nettlering.domain.upstream.UpstreamAddress;

/**
 * Allocates slots of upstreams to requests: submits the requests to admission control and applies its decisions.
 *
 * <p>Thread-safe; slot requests and callbacks are called outside all locks.
 */
public final class SlotAllocator {
    private final AdmissionController<SlotRequest> admission;

    /** Called when a request was queued. */
    private volatile Runnable onRequestQueued = () -> {};

    /** Called with each peer entry that a borrowed slot was returned to. */
    private volatile Consumer<String> onSlotReturned = peer -> {};

    /**
     * Creates a slot allocator.
     *
     * @param admission the admission control, not null
     * @return a new allocator, never null
     */
    public static SlotAllocator of(AdmissionController<SlotRequest> admission) {
        return new SlotAllocator(admission);
    }

    private SlotAllocator(AdmissionController<SlotRequest> admission) {
        this.admission = admission;
    }

    /**
     * Sets the callback for queued requests, which may borrow slots from peer entries.
     *
     * @param action called outside every lock, not null
     */
    public void onRequestQueued(Runnable action) {
        onRequestQueued = action;
    }

    /**
     * Sets the callback for each peer entry that a borrowed slot was returned to.
     *
     * @param action called outside every lock, not null
     */
    public void onSlotReturned(Consumer<String> action) {
        onSlotReturned = action;
    }

    /**
     * Requests a slot; the decision is passed to the {@link SlotRequest}, now or later.
     *
     * @param request the request, not null
     * @param queueCapacity the maximum number of queued requests of the service
     */
    public void submit(AdmissionRequest<SlotRequest> request, int queueCapacity) {
        AdmissionDecisions<SlotRequest> decisions = admission.submit(request, queueCapacity);
        boolean queued = decisions.grants().isEmpty() && decisions.rejections().isEmpty();
        apply(decisions);
        if (queued) {
            onRequestQueued.run();
        }
    }

    /**
     * Removes a request from its queue.
     *
     * @param request the request, not null
     * @return true if the request was queued
     */
    public boolean withdraw(SlotRequest request) {
        return admission.withdraw(request);
    }

    /**
     * Releases a slot.
     *
     * @param upstream the upstream of the slot, not null
     * @param service the name of the request's service, not null
     * @param completion how the request ended, not null
     */
    public void release(UpstreamAddress upstream, String service, RequestCompletion completion) {
        apply(admission.release(upstream, service, completion));
    }

    /** Rejects the queued requests that can no longer complete before their deadlines. */
    public void reevaluateQueues() {
        apply(admission.reevaluateQueues());
    }

    /**
     * Reads or updates the slot table and applies the decisions that follow.
     *
     * @param action the action on the table; it must not block, not null
     * @param <R> the type of its result
     * @return the result of the action
     */
    public <R> R withSlots(Function<SlotTable, R> action) {
        AdmissionController.SlotUpdate<R, SlotRequest> update = admission.withSlots(action);
        apply(update.decisions());
        return update.result();
    }

    /**
     * Applies decisions: notifies the granted and rejected requests and the peers that get slots back.
     *
     * @param decisions the decisions, not null
     */
    public void apply(AdmissionDecisions<SlotRequest> decisions) {
        for (AdmissionDecisions.Grant<SlotRequest> grant : decisions.grants()) {
            grant.payload().onGranted(grant.upstream());
        }
        for (AdmissionDecisions.Rejection<SlotRequest> rejection : decisions.rejections()) {
            rejection.payload().onRejected(rejection.code(), rejection.retryAfter());
        }
        decisions.reclaimingPeers().forEach(onSlotReturned);
    }
}
