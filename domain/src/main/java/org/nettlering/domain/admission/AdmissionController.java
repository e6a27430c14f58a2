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
 * Decides which request runs where, which waits and which is refused.
 *
 * <p>Each service has a bounded queue by deadline. A free slot goes to the most urgent request that can use it. A request
 * that could not be answered in time at the present drain rate is refused at once, and a request that waits is refused as
 * soon as its time no longer suffices. Thread-safe: one lock; the decisions are carried out by the caller after the call.
 *
 * @param <T> the type of a request
 */
public final class AdmissionController<T> {
    /** How soon a refused caller may come back at the earliest. */
    public static final Duration MINIMUM_RETRY_AFTER = Duration.ofMillis(100);

    /** How late a refused caller is told to come back at the latest. */
    public static final Duration MAXIMUM_RETRY_AFTER = Duration.ofSeconds(30);

    /** The clock. */
    private final TimeSource time;

    /** How many requests wait at most, over all services. */
    private final int maximumQueued;

    /** Chooses among the candidates. */
    private final UpstreamSelector selector;

    /** Guards everything below. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The slots of the instances. */
    private final SlotTable slots;

    /** Upstreams that fail again and again. */
    private final OutlierDetector outlierDetector = OutlierDetector.create();

    /** The services by name. */
    private final Map<String, ServiceQueue<T>> queues = new HashMap<>();

    /** Where each waiting request waits. */
    private final IdentityHashMap<T, AdmissionRequest<T>> queuedByPayload = new IdentityHashMap<>();

    /**
     * Creates a controller that knows no upstream.
     *
     * @param entryId the id of this entry, not null
     * @param policy how upstreams are chosen, not null
     * @param maximumQueued how many requests wait at most, over all services
     * @param time the clock, not null
     * @param random the source of random numbers, used under the lock only, not null
     * @param <T> the type of a request
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
     * Returns how many requests wait.
     *
     * @return the count over all services
     */
    public int queuedCount() {
        return withLock(queuedByPayload::size);
    }

    /**
     * Returns how many requests of a service wait.
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
     * Tells whether an upstream is ejected.
     *
     * @param address the upstream, not null
     * @return true while its ejection lasts
     */
    public boolean isEjected(UpstreamAddress address) {
        return withLock(() -> outlierDetector.isEjected(address, time.nanoTime()));
    }

    /**
     * Asks for a slot.
     *
     * @param request the request, not null
     * @param queueCapacity how many requests of the service wait at most
     * @return the grant or the refusal of this request, and of others that it displaced, never null
     */
    public AdmissionDecisions<T> submit(AdmissionRequest<T> request, int queueCapacity) {
        return withLock(() -> {
            AdmissionDecisions<T> decisions = AdmissionDecisions.create();
            admitOrEnqueue(request, queueCapacity, decisions);
            return decisions;
        });
    }

    /**
     * Ends a request that was granted.
     *
     * @param address where it ran, not null
     * @param service the name of its service, not null
     * @param completion how it ended, not null
     * @return the requests that run now, never null
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
            List<String> returnedTo = slots.returnSlotToBackloggedPeer(address);
            AdmissionDecisions<T> decisions = grantQueued(now);
            decisions.reclaimingPeers().addAll(returnedTo);
            return decisions;
        });
    }

    /**
     * Takes a request that waits out of its queue.
     *
     * @param payload the request, not null
     * @return true when it waited
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
     * Refuses the waiting requests that can no longer be answered in time, and serves the others again.
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
     * Sets the upstreams of a service.
     *
     * @param service the name of the service, not null
     * @param announcements the serving upstreams, not null
     * @return the decisions that follow, never null
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
     * Changes or reads the slots under the controller's lock, and serves the waiting requests with what that freed.
     *
     * @param action what to do; it must not block, not null
     * @param <R> the type of its result
     * @return the result and the decisions that follow, never null
     */
    public <R> SlotUpdate<R, T> withSlots(Function<SlotTable, R> action) {
        return withLock(() -> {
            R result = action.apply(slots);
            return new SlotUpdate<>(result, grantQueued(time.nanoTime()));
        });
    }

    /**
     * Returns the instances of a service, for {@link #withSlots}.
     *
     * @param service the name of the service, not null
     * @return the instances, never null
     */
    public List<UpstreamAddress> upstreamsOf(String service) {
        return withLock(() ->
                queue(service).candidates().stream().map(InstanceSlots::address).toList());
    }

    /**
     * Returns how many requests wait in each service.
     *
     * @return the counts of the services that have any, never null
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
     * What {@link #withSlots} did.
     *
     * @param result the result of the action
     * @param decisions the decisions that follow, not null
     * @param <R> the type of the result
     * @param <T> the type of a request
     */
    public record SlotUpdate<R, T>(R result, AdmissionDecisions<T> decisions) {}
}
