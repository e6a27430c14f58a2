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
import org.nettlering.domain.routing.OutlierEjection;
import org.nettlering.domain.routing.RoutingPolicy;
import org.nettlering.domain.routing.SlotTable;
import org.nettlering.domain.routing.UpstreamChooser;
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
    public static final Duration SHORTEST_RETRY_AFTER = Duration.ofMillis(100);

    /** How late a refused caller is told to come back at the latest. */
    public static final Duration LONGEST_RETRY_AFTER = Duration.ofSeconds(30);

    /** The clock. */
    private final TimeSource time;

    /** How many requests wait at most, over all services. */
    private final int maximumWaiting;

    /** Chooses among the candidates. */
    private final UpstreamChooser chooser;

    /** Guards everything below. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The slots of the instances. */
    private final SlotTable slots;

    /** Upstreams that fail again and again. */
    private final OutlierEjection ejection = OutlierEjection.create();

    /** The services by name. */
    private final Map<String, ServiceQueue<T>> services = new HashMap<>();

    /** Where each waiting request waits. */
    private final IdentityHashMap<T, RequestTicket<T>> waiting = new IdentityHashMap<>();

    /**
     * Creates a controller that knows no upstream.
     *
     * @param entryId the id of this entry, not null
     * @param policy how upstreams are chosen, not null
     * @param maximumWaiting how many requests wait at most, over all services
     * @param time the clock, not null
     * @param random the source of random numbers, used under the lock only, not null
     * @param <T> the type of a request
     * @return a new controller, never null
     */
    public static <T> AdmissionController<T> of(
            String entryId, RoutingPolicy policy, int maximumWaiting, TimeSource time, RandomGenerator random) {
        return new AdmissionController<>(
                SlotTable.of(entryId), UpstreamChooser.of(policy, random), maximumWaiting, time);
    }

    private AdmissionController(SlotTable slots, UpstreamChooser chooser, int maximumWaiting, TimeSource time) {
        this.slots = slots;
        this.chooser = chooser;
        this.maximumWaiting = maximumWaiting;
        this.time = time;
    }

    /**
     * Returns how many requests wait.
     *
     * @return the count over all services
     */
    public int waitingCount() {
        return locked(waiting::size);
    }

    /**
     * Returns how many requests of a service wait.
     *
     * @param service the name of the service, not null
     * @return the count
     */
    public int waitingCount(String service) {
        return locked(() -> {
            ServiceQueue<T> queue = services.get(service);
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
        return locked(() -> ejection.isEjected(address, time.nanoTime()));
    }

    /**
     * Asks for a slot.
     *
     * @param ticket the request, not null
     * @param queueCapacity how many requests of the service wait at most
     * @return the grant or the refusal of this request, and of others that it displaced, never null
     */
    public Decisions<T> submit(RequestTicket<T> ticket, int queueCapacity) {
        return locked(() -> {
            Decisions<T> decisions = Decisions.create();
            decide(ticket, queueCapacity, decisions);
            return decisions;
        });
    }

    /**
     * Ends a request that was granted.
     *
     * @param address where it ran, not null
     * @param service the name of its service, not null
     * @param end how it ended, not null
     * @return the requests that run now, never null
     */
    public Decisions<T> release(UpstreamAddress address, String service, RequestEnd end) {
        return locked(() -> {
            long now = time.nanoTime();
            InstanceSlots instance = slots.find(address);
            if (instance != null) {
                instance.end();
            }
            queue(service).end();
            recordEnd(address, service, end, instance, now);
            List<String> returnedTo = slots.returnRecalled(address);
            Decisions<T> decisions = serveWaiting(now);
            decisions.returnedTo().addAll(returnedTo);
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
        return locked(() -> {
            RequestTicket<T> ticket = waiting.remove(payload);
            if (ticket == null) {
                return false;
            }
            queue(ticket.service()).remove(ticket);
            return true;
        });
    }

    /**
     * Refuses the waiting requests that can no longer be answered in time, and serves the others again.
     *
     * @return the decisions, never null
     */
    public Decisions<T> refresh() {
        return locked(() -> {
            long now = time.nanoTime();
            Decisions<T> decisions = serveWaiting(now);
            for (ServiceQueue<T> queue : services.values()) {
                for (RequestTicket<T> ticket : queue.takeTooLate(now)) {
                    refuse(ticket, ErrorCode.OVERLOADED, queue.retryAfter(now), decisions);
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
    public Decisions<T> setUpstreams(String service, List<UpstreamAnnouncement> announcements) {
        return locked(() -> {
            long now = time.nanoTime();
            ServiceQueue<T> queue = queue(service);
            queue.setCandidates(announcements.stream()
                    .map(announcement ->
                            slots.put(announcement.address(), announcement.slots(), announcement.connections()))
                    .toList());
            dropUnusedInstances();
            Decisions<T> decisions = serveWaiting(now);
            if (queue.candidates().isEmpty()) {
                queue.takeAll()
                        .forEach(ticket -> refuse(
                                ticket, ErrorCode.NO_UPSTREAM, SHORTEST_RETRY_AFTER.multipliedBy(10), decisions));
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
    public <R> SlotChange<R, T> withSlots(Function<SlotTable, R> action) {
        return locked(() -> {
            R result = action.apply(slots);
            return new SlotChange<>(result, serveWaiting(time.nanoTime()));
        });
    }

    /**
     * Returns the instances of a service, for {@link #withSlots}.
     *
     * @param service the name of the service, not null
     * @return the instances, never null
     */
    public List<UpstreamAddress> instancesOf(String service) {
        return locked(() ->
                queue(service).candidates().stream().map(InstanceSlots::address).toList());
    }

    /**
     * Returns how many requests wait in each service.
     *
     * @return the counts of the services that have any, never null
     */
    public Map<String, Integer> waitingByService() {
        return locked(() -> {
            Map<String, Integer> counts = new HashMap<>();
            services.forEach((name, queue) -> {
                if (queue.size() > 0) {
                    counts.put(name, queue.size());
                }
            });
            return counts;
        });
    }

    private void decide(RequestTicket<T> ticket, int queueCapacity, Decisions<T> decisions) {
        long now = time.nanoTime();
        ServiceQueue<T> queue = queue(ticket.service());
        if (queue.candidates().isEmpty()) {
            refuse(ticket, ErrorCode.NO_UPSTREAM, SHORTEST_RETRY_AFTER.multipliedBy(10), decisions);
            return;
        }
        if (ticket.deadlineNanos() - now <= 0) {
            refuse(ticket, ErrorCode.DEADLINE_EXCEEDED, SHORTEST_RETRY_AFTER, decisions);
            return;
        }
        InstanceSlots chosen = choose(queue, ticket, now);
        if (chosen != null) {
            grant(ticket, chosen, decisions);
            return;
        }
        if (!queue.canAnswerInTime(ticket, now)) {
            refuse(ticket, ErrorCode.OVERLOADED, queue.retryAfter(now), decisions);
            return;
        }
        enqueue(ticket, queue, queueCapacity, now, decisions);
    }

    private void enqueue(
            RequestTicket<T> ticket, ServiceQueue<T> queue, int queueCapacity, long now, Decisions<T> decisions) {
        queue.add(ticket);
        waiting.put(ticket.payload(), ticket);
        if (queue.size() > queueCapacity) {
            displace(queue, now, decisions);
        } else if (waiting.size() > maximumWaiting) {
            displace(leastUrgentQueue(), now, decisions);
        }
    }

    private void displace(ServiceQueue<T> queue, long now, Decisions<T> decisions) {
        RequestTicket<T> last = queue.takeLast();
        refuse(last, ErrorCode.OVERLOADED, queue.retryAfter(now), decisions);
    }

    private ServiceQueue<T> leastUrgentQueue() {
        return services.values().stream()
                .filter(queue -> queue.size() > 0)
                .min(Comparator.comparingInt(queue -> queue.first().urgency()))
                .orElseThrow();
    }

    private Decisions<T> serveWaiting(long now) {
        Decisions<T> decisions = Decisions.create();
        if (waiting.isEmpty()) {
            return decisions;
        }
        List<ServiceQueue<T>> byUrgency = new ArrayList<>();
        for (ServiceQueue<T> queue : services.values()) {
            if (queue.size() > 0) {
                byUrgency.add(queue);
            }
        }
        byUrgency.sort(Comparator.comparing(ServiceQueue::first, ServiceQueue.mostUrgentFirst()));
        for (ServiceQueue<T> queue : byUrgency) {
            serve(queue, now, decisions);
        }
        return decisions;
    }

    private void serve(ServiceQueue<T> queue, long now, Decisions<T> decisions) {
        while (queue.size() > 0) {
            RequestTicket<T> ticket = queue.first();
            InstanceSlots chosen = choose(queue, ticket, now);
            if (chosen == null) {
                return;
            }
            queue.remove(ticket);
            grant(ticket, chosen, decisions);
        }
    }

    private @Nullable InstanceSlots choose(ServiceQueue<T> queue, RequestTicket<T> ticket, long now) {
        List<InstanceSlots> usable = ejection.usable(queue.candidates(), now);
        if (ticket.avoided().isEmpty()) {
            return chooser.choose(usable);
        }
        List<InstanceSlots> others = usable.stream()
                .filter(candidate -> !ticket.avoided().contains(candidate.address()))
                .toList();
        return chooser.choose(others.isEmpty() ? usable : others);
    }

    private void grant(RequestTicket<T> ticket, InstanceSlots chosen, Decisions<T> decisions) {
        waiting.remove(ticket.payload());
        queue(ticket.service()).start();
        chosen.start();
        decisions.grants().add(new Decisions.Grant<>(ticket.payload(), chosen.address()));
    }

    private void refuse(RequestTicket<T> ticket, ErrorCode code, Duration retryAfter, Decisions<T> decisions) {
        waiting.remove(ticket.payload());
        decisions.refusals().add(new Decisions.Refusal<>(ticket.payload(), code, retryAfter));
    }

    private void recordEnd(
            UpstreamAddress address, String service, RequestEnd end, @Nullable InstanceSlots instance, long now) {
        switch (end) {
            case RequestEnd.Answered answered -> {
                queue(service).recordAnswer(answered.responseTime(), now);
                ejection.recordSuccess(address);
                if (instance != null) {
                    instance.recordResponse(answered.responseTime().toNanos());
                }
            }
            case RequestEnd.UpstreamFailed failed -> ejection.recordFailure(address, now);
            case RequestEnd.NotBlamed notBlamed -> {}
        }
    }

    private void dropUnusedInstances() {
        Set<UpstreamAddress> used = new HashSet<>();
        for (ServiceQueue<T> queue : services.values()) {
            queue.candidates().forEach(candidate -> used.add(candidate.address()));
        }
        slots.retain(used).forEach(ejection::forget);
    }

    private ServiceQueue<T> queue(String service) {
        return services.computeIfAbsent(service, name -> new ServiceQueue<>(time.nanoTime()));
    }

    private <R> R locked(java.util.function.Supplier<R> action) {
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
    public record SlotChange<R, T>(R result, Decisions<T> decisions) {}
}
