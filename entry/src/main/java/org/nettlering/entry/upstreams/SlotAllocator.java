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
 * Gives out slots: asks the admission control and carries its decisions out.
 *
 * <p>Thread-safe; the waiters are called outside every lock.
 */
public final class SlotAllocator {
    /** Decides. */
    private final AdmissionController<SlotRequest> admission;

    /** Called after a request had to wait. */
    private volatile Runnable onRequestQueued = () -> {};

    /** Called with each peer that got a borrowed slot back. */
    private volatile Consumer<String> onSlotReturned = peer -> {};

    /**
     * Creates a desk.
     *
     * @param admission decides, not null
     * @return a new desk, never null
     */
    public static SlotAllocator of(AdmissionController<SlotRequest> admission) {
        return new SlotAllocator(admission);
    }

    private SlotAllocator(AdmissionController<SlotRequest> admission) {
        this.admission = admission;
    }

    /**
     * Sets what is called after a request had to wait, so that slots can be borrowed.
     *
     * @param action called outside every lock, not null
     */
    public void onRequestQueued(Runnable action) {
        onRequestQueued = action;
    }

    /**
     * Sets what is called with each peer that got a borrowed slot back.
     *
     * @param action called outside every lock, not null
     */
    public void onSlotReturned(Consumer<String> action) {
        onSlotReturned = action;
    }

    /**
     * Asks for a slot.
     *
     * @param request the request, not null
     * @param queueCapacity how many requests of the service wait at most
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
     * Takes a request that waits out of its queue.
     *
     * @param request the request, not null
     * @return true when it waited
     */
    public boolean withdraw(SlotRequest request) {
        return admission.withdraw(request);
    }

    /**
     * Gives a slot back.
     *
     * @param upstream where the request ran, not null
     * @param service the name of its service, not null
     * @param completion how it ended, not null
     */
    public void release(UpstreamAddress upstream, String service, RequestCompletion completion) {
        apply(admission.release(upstream, service, completion));
    }

    /** Refuses the requests that can no longer be answered in time. */
    public void reevaluateQueues() {
        apply(admission.reevaluateQueues());
    }

    /**
     * Changes or reads the slots.
     *
     * @param action what to do; it must not block, not null
     * @param <R> the type of its result
     * @return the result of the action
     */
    public <R> R withSlots(Function<SlotTable, R> action) {
        AdmissionController.SlotUpdate<R, SlotRequest> update = admission.withSlots(action);
        apply(update.decisions());
        return update.result();
    }

    /**
     * Carries decisions out.
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
