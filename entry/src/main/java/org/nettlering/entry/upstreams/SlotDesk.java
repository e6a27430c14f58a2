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
public final class SlotDesk {
    /** Decides. */
    private final AdmissionController<SlotWaiter> admission;

    /** Called after a request had to wait. */
    private volatile Runnable whenWaiting = () -> {};

    /** Called with each peer that got a borrowed slot back. */
    private volatile Consumer<String> whenReturned = peer -> {};

    /**
     * Creates a desk.
     *
     * @param admission decides, not null
     * @return a new desk, never null
     */
    public static SlotDesk of(AdmissionController<SlotWaiter> admission) {
        return new SlotDesk(admission);
    }

    private SlotDesk(AdmissionController<SlotWaiter> admission) {
        this.admission = admission;
    }

    /**
     * Sets what is called after a request had to wait, so that slots can be borrowed.
     *
     * @param action called outside every lock, not null
     */
    public void whenWaiting(Runnable action) {
        whenWaiting = action;
    }

    /**
     * Sets what is called with each peer that got a borrowed slot back.
     *
     * @param action called outside every lock, not null
     */
    public void whenReturned(Consumer<String> action) {
        whenReturned = action;
    }

    /**
     * Asks for a slot.
     *
     * @param ticket the request, not null
     * @param queueCapacity how many requests of the service wait at most
     */
    public void submit(AdmissionRequest<SlotWaiter> ticket, int queueCapacity) {
        AdmissionDecisions<SlotWaiter> decisions = admission.submit(ticket, queueCapacity);
        boolean waits = decisions.grants().isEmpty() && decisions.rejections().isEmpty();
        carryOut(decisions);
        if (waits) {
            whenWaiting.run();
        }
    }

    /**
     * Takes a request that waits out of its queue.
     *
     * @param waiter the request, not null
     * @return true when it waited
     */
    public boolean withdraw(SlotWaiter waiter) {
        return admission.withdraw(waiter);
    }

    /**
     * Gives a slot back.
     *
     * @param upstream where the request ran, not null
     * @param service the name of its service, not null
     * @param end how it ended, not null
     */
    public void release(UpstreamAddress upstream, String service, RequestCompletion end) {
        carryOut(admission.release(upstream, service, end));
    }

    /** Refuses the requests that can no longer be answered in time. */
    public void refresh() {
        carryOut(admission.reevaluateQueues());
    }

    /**
     * Changes or reads the slots.
     *
     * @param action what to do; it must not block, not null
     * @param <R> the type of its result
     * @return the result of the action
     */
    public <R> R withSlots(Function<SlotTable, R> action) {
        AdmissionController.SlotUpdate<R, SlotWaiter> change = admission.withSlots(action);
        carryOut(change.decisions());
        return change.result();
    }

    /**
     * Carries decisions out.
     *
     * @param decisions the decisions, not null
     */
    public void carryOut(AdmissionDecisions<SlotWaiter> decisions) {
        for (AdmissionDecisions.Grant<SlotWaiter> grant : decisions.grants()) {
            grant.payload().granted(grant.upstream());
        }
        for (AdmissionDecisions.Rejection<SlotWaiter> refusal : decisions.rejections()) {
            refusal.payload().refused(refusal.code(), refusal.retryAfter());
        }
        decisions.reclaimingPeers().forEach(whenReturned);
    }
}
