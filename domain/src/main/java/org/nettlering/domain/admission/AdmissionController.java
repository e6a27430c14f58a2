package org.nettlering.domain.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.routing.InstanceSlots;
import org.nettlering.domain.routing.OutlierDetector;
import org.nettlering.domain.routing.RoutingPolicy;
import org.nettlering.domain.routing.SlotTable;
import org.nettlering.domain.routing.UpstreamSelector;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.domain.upstream.UpstreamAddress;
import org.nettlering.domain.upstream.UpstreamAnnouncement;

/**
 * Decides which requests run on which upstream, which are queued and which are rejected.
 *
 * <p>Each service has a bounded queue that is ordered by deadline.
 *
 * <ul>
 *   <li>A free slot is granted to the most urgent request that can use it.
 *   <li>A new request that would miss its deadline at the current drain rate is rejected immediately.
 *   <li>A queued request is rejected as soon as its remaining time is shorter than the usual response time.
 * </ul>
 *
 * <p>Thread-safe: all state is guarded by one lock. The caller applies the decisions after the method has returned.
 *
 * @param <T> the type of the request payload, compared by identity
 */
public final class AdmissionController<T> {
    /** The minimum retry delay that is sent with a rejection. */
    public static final Duration MINIMUM_RETRY_AFTER = Duration.ofMillis(100);

    /** The maximum retry delay that is sent with a rejection. */
    public static final Duration MAXIMUM_RETRY_AFTER = Duration.ofSeconds(30);

    private final TimeSource time;

    /** The limit on queued requests over all services. */
    private final int maximumQueued;

    private final UpstreamSelector selector;

    /** Guards all fields below, and the use of {@link #selector}. */
    private final ReentrantLock lock = new ReentrantLock();

    private final SlotTable slots;

    private final OutlierDetector outlierDetector = OutlierDetector.create();

    private final Map<String, ServiceQueue<T>> queues = new HashMap<>();

    private final IdentityHashMap<T, AdmissionRequest<T>> queuedByPayload = new IdentityHashMap<>();

    /**
     * Creates a controller without upstreams.
     *
     * @param entryId the id of this entry, not null
     * @param policy how upstreams are selected, not null
     * @param maximumQueued the limit on queued requests over all services
     * @param time the source of monotonic time, not null
     * @param random the source of random numbers, used only under the lock of the controller, not null
     * @param <T> the type of the request payload
     * @return a new controller, never null
     */
    public static <T> AdmissionController<T> of(
            String entryId, RoutingPolicy policy, int maximumQueued, TimeSource time, RandomGenerator random) {
        return new AdmissionController<>(
                SlotTable.of(entryId), UpstreamSelector.of(policy, random), maximumQueued, time);
    }

    private AdmissionController(SlotTable slots, UpstreamSelector selector, int maximumQueued, TimeSource time) {
        this.slots = slots;
        this.selector = selector;
        this.maximumQueued = maximumQueued;
        this.time = time;
    }

    /**
     * Returns the number of queued requests.
     *
     * @return the count over all services
     */
    public int queuedCount() {
        return withLock(queuedByPayload::size);
    }

    /**
     * Returns the number of queued requests of a service.
     *
     * @param service the name of the service, not null
     * @return the count
     */
    public int queuedCount(String service) {
        return withLock(() -> {
            ServiceQueue<T> queue = queues.get(service);
            return queue == null ? 0 : queue.size();
        });
    }

    /**
     * Returns whether an upstream is ejected as an outlier.
     *
     * @param address the upstream, not null
     * @return true until its ejection expires
     */
    public boolean isEjected(UpstreamAddress address) {
        return withLock(() -> outlierDetector.isEjected(address, time.nanoTime()));
    }

    /**
     * Grants a slot to a request, or queues or rejects the request.
     *
     * @param request the request, not null
     * @param queueCapacity the limit on queued requests of the service
     * @return the grant or the rejection of this request, and the rejection of another one that it displaced from a
     *     queue; empty when the request was queued without displacing another one, never null
     */
    public AdmissionDecisions<T> submit(AdmissionRequest<T> request, int queueCapacity) {
        return withLock(() -> {
            AdmissionDecisions<T> decisions = AdmissionDecisions.create();
            admitOrEnqueue(request, queueCapacity, decisions);
            return decisions;
        });
    }

    /**
     * Releases the slot of a granted request and grants it to a queued request or to a peer.
     *
     * @param address the upstream that the request ran on, not null
     * @param service the name of the service, not null
     * @param completion how the request completed, not null
     * @return the resulting grants and the peers that got a borrowed slot back, never null
     */
    public AdmissionDecisions<T> release(UpstreamAddress address, String service, RequestCompletion completion) {
        return withLock(() -> {
            long now = time.nanoTime();
            InstanceSlots instance = slots.find(address);
            if (instance != null) {
                instance.requestFinished();
            }
            queue(service).requestFinished();
            recordCompletion(address, service, completion, instance, now);
            List<String> reclaimingPeers = slots.returnSlotToBackloggedPeer(address);
            AdmissionDecisions<T> decisions = grantQueued(now);
            decisions.reclaimingPeers().addAll(reclaimingPeers);
            return decisions;
        });
    }

    /**
     * Removes a request from its queue.
     *
     * @param payload the request, not null
     * @return true when the request was queued
     */
    public boolean withdraw(T payload) {
        return withLock(() -> {
            AdmissionRequest<T> request = queuedByPayload.remove(payload);
            if (request == null) {
                return false;
            }
            queue(request.service()).remove(request);
            return true;
        });
    }

    /**
     * Grants free slots to queued requests, then rejects the queued requests that can no longer meet their deadline.
     *
     * @return the decisions, never null
     */
    public AdmissionDecisions<T> reevaluateQueues() {
        return withLock(() -> {
            long now = time.nanoTime();
            AdmissionDecisions<T> decisions = grantQueued(now);
            for (ServiceQueue<T> queue : queues.values()) {
                for (AdmissionRequest<T> request : queue.removeExpired(now)) {
                    reject(request, ErrorCode.OVERLOADED, queue.retryAfter(now), decisions);
                }
            }
            return decisions;
        });
    }

    /**
     * Replaces the upstreams of a service; all queued requests of a service without upstreams are rejected.
     *
     * @param service the name of the service, not null
     * @param announcements the announcements of the serving upstreams, not null
     * @return the resulting decisions, never null
     */
    public AdmissionDecisions<T> setUpstreams(String service, List<UpstreamAnnouncement> announcements) {
        return withLock(() -> {
            long now = time.nanoTime();
            ServiceQueue<T> queue = queue(service);
            queue.setCandidates(announcements.stream()
                    .map(announcement ->
                            slots.putInstance(announcement.address(), announcement.slots(), announcement.connections()))
                    .toList());
            removeUnusedInstances();
            AdmissionDecisions<T> decisions = grantQueued(now);
            if (queue.candidates().isEmpty()) {
                queue.removeAll()
                        .forEach(request -> reject(
                                request, ErrorCode.NO_UPSTREAM, MINIMUM_RETRY_AFTER.multipliedBy(10), decisions));
            }
            return decisions;
        });
    }

    /**
     * Runs an action on the slots under the lock of the controller, then grants the free slots to queued requests.
     *
     * @param action the action, which reads or changes the slots and must not block, not null
     * @param <R> the type of the result
     * @return the result and the resulting decisions, never null
     */
    public <R> SlotUpdate<R, T> withSlots(Function<SlotTable, R> action) {
        return withLock(() -> {
            R result = action.apply(slots);
            return new SlotUpdate<>(result, grantQueued(time.nanoTime()));
        });
    }

    /**
     * Returns the addresses of the upstreams of a service.
     *
     * @param service the name of the service, not null
     * @return the addresses, never null
     */
    public List<UpstreamAddress> upstreamsOf(String service) {
        return withLock(() ->
                queue(service).candidates().stream().map(InstanceSlots::address).toList());
    }

    /**
     * Returns the number of queued requests by service.
     *
     * @return the counts by name of the service, without services that have no queued request, never null
     */
    public Map<String, Integer> queuedByService() {
        return withLock(() -> {
            Map<String, Integer> counts = new HashMap<>();
            queues.forEach((name, queue) -> {
                if (queue.size() > 0) {
                    counts.put(name, queue.size());
                }
            });
            return counts;
        });
    }

    private void admitOrEnqueue(AdmissionRequest<T> request, int queueCapacity, AdmissionDecisions<T> decisions) {
        long now = time.nanoTime();
        ServiceQueue<T> queue = queue(request.service());
        if (queue.candidates().isEmpty()) {
            reject(request, ErrorCode.NO_UPSTREAM, MINIMUM_RETRY_AFTER.multipliedBy(10), decisions);
            return;
        }
        if (request.deadlineNanos() - now <= 0) {
            reject(request, ErrorCode.DEADLINE_EXCEEDED, MINIMUM_RETRY_AFTER, decisions);
            return;
        }
        InstanceSlots selected = selectInstance(queue, request, now);
        if (selected != null) {
            grant(request, selected, decisions);
            return;
        }
        if (!queue.canMeetDeadline(request, now)) {
            reject(request, ErrorCode.OVERLOADED, queue.retryAfter(now), decisions);
            return;
        }
        enqueue(request, queue, queueCapacity, now, decisions);
    }

    private void enqueue(
            AdmissionRequest<T> request,
            ServiceQueue<T> queue,
            int queueCapacity,
            long now,
            AdmissionDecisions<T> decisions) {
        queue.add(request);
        queuedByPayload.put(request.payload(), request);
        if (queue.size() > queueCapacity) {
            rejectLast(queue, now, decisions);
        } else if (queuedByPayload.size() > maximumQueued) {
            rejectLast(leastUrgentQueue(), now, decisions);
        }
    }

    private void rejectLast(ServiceQueue<T> queue, long now, AdmissionDecisions<T> decisions) {
        AdmissionRequest<T> last = queue.removeLast();
        reject(last, ErrorCode.OVERLOADED, queue.retryAfter(now), decisions);
    }

    private ServiceQueue<T> leastUrgentQueue() {
        return queues.values().stream()
                .filter(queue -> queue.size() > 0)
                .min(Comparator.comparingInt(queue -> queue.first().urgency()))
                .orElseThrow();
    }

    private AdmissionDecisions<T> grantQueued(long now) {
        AdmissionDecisions<T> decisions = AdmissionDecisions.create();
        if (queuedByPayload.isEmpty()) {
            return decisions;
        }
        List<ServiceQueue<T>> byUrgency = new ArrayList<>();
        for (ServiceQueue<T> queue : queues.values()) {
            if (queue.size() > 0) {
                byUrgency.add(queue);
            }
        }
        byUrgency.sort(Comparator.comparing(ServiceQueue::first, ServiceQueue.mostUrgentFirst()));
        for (ServiceQueue<T> queue : byUrgency) {
            grantFrom(queue, now, decisions);
        }
        return decisions;
    }

    private void grantFrom(ServiceQueue<T> queue, long now, AdmissionDecisions<T> decisions) {
        while (queue.size() > 0) {
            AdmissionRequest<T> request = queue.first();
            InstanceSlots selected = selectInstance(queue, request, now);
            if (selected == null) {
                return;
            }
            queue.remove(request);
            grant(request, selected, decisions);
        }
    }

    private @Nullable InstanceSlots selectInstance(ServiceQueue<T> queue, AdmissionRequest<T> request, long now) {
        List<InstanceSlots> usable = outlierDetector.usable(queue.candidates(), now);
        if (request.avoided().isEmpty()) {
            return selector.select(usable);
        }
        List<InstanceSlots> others = usable.stream()
                .filter(candidate -> !request.avoided().contains(candidate.address()))
                .toList();
        return selector.select(others.isEmpty() ? usable : others);
    }

    private void grant(AdmissionRequest<T> request, InstanceSlots selected, AdmissionDecisions<T> decisions) {
        queuedByPayload.remove(request.payload());
        queue(request.service()).requestStarted();
        selected.requestStarted();
        decisions.grants().add(new AdmissionDecisions.Grant<>(request.payload(), selected.address()));
    }

    private void reject(
            AdmissionRequest<T> request, ErrorCode code, Duration retryAfter, AdmissionDecisions<T> decisions) {
        queuedByPayload.remove(request.payload());
        decisions.rejections().add(new AdmissionDecisions.Rejection<>(request.payload(), code, retryAfter));
    }

    private void recordCompletion(
            UpstreamAddress address,
            String service,
            RequestCompletion completion,
            @Nullable InstanceSlots instance,
            long now) {
        switch (completion) {
            case RequestCompletion.Responded responded -> {
                queue(service).recordResponse(responded.responseTime(), now);
                outlierDetector.recordSuccess(address);
                if (instance != null) {
                    instance.recordResponse(responded.responseTime().toNanos());
                }
            }
            case RequestCompletion.UpstreamFailed failed -> outlierDetector.recordFailure(address, now);
            case RequestCompletion.UpstreamNotAtFault notAtFault -> {}
        }
    }

    private void removeUnusedInstances() {
        Set<UpstreamAddress> used = new HashSet<>();
        for (ServiceQueue<T> queue : queues.values()) {
            queue.candidates().forEach(candidate -> used.add(candidate.address()));
        }
        slots.retainInstances(used).forEach(outlierDetector::remove);
    }

    private ServiceQueue<T> queue(String service) {
        return queues.computeIfAbsent(service, name -> new ServiceQueue<>(time.nanoTime()));
    }

    private <R> R withLock(java.util.function.Supplier<R> action) {
        lock.lock();
        try {
            return action.get();
        } finally {
            lock.unlock();
        }
    }

    /**
     * The outcome of {@link #withSlots}.
     *
     * @param result the result of the action
     * @param decisions the resulting decisions, not null
     * @param <R> the type of the result
     * @param <T> the type of the request payload
     */
    public record SlotUpdate<R, T>(R result, AdmissionDecisions<T> decisions) {}
}
