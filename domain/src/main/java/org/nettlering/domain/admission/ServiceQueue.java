package org.nettlering.domain.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.nettlering.domain.routing.InstanceSlots;

/**
 * The requests of one service that wait, by deadline, and how fast the service drains.
 *
 * <p>Mutable and not thread-safe: the admission control guards it by its lock.
 *
 * @param <T> the type of a request
 */
final class ServiceQueue<T> {
    private static final double NANOS_PER_SECOND = 1_000_000_000.0;

    /** The requests by deadline, those of one deadline in the order of their arrival. */
    private final TreeMap<Position, RequestTicket<T>> byDeadline =
            new TreeMap<>(Comparator.comparingLong(Position::deadlineNanos).thenComparingLong(Position::order));

    /** The position of each ticket. */
    private final Map<RequestTicket<T>, Position> positions = new HashMap<>();

    /** How fast requests of the service end. */
    private final DrainRate drainRate;

    /** The instances that serve the service. */
    private List<InstanceSlots> candidates = List.of();

    /** The smoothed response time, zero before the first answer. */
    private double responseNanos;

    /** Requests of the service in flight. */
    private int inFlight;

    /** Orders tickets of one deadline. */
    private long nextOrder;

    ServiceQueue(long nowNanos) {
        drainRate = DrainRate.startingAt(nowNanos);
    }

    static <T> Comparator<RequestTicket<T>> mostUrgentFirst() {
        return Comparator.<RequestTicket<T>>comparingInt(RequestTicket::urgency)
                .reversed()
                .thenComparingLong(RequestTicket::deadlineNanos);
    }

    List<InstanceSlots> candidates() {
        return candidates;
    }

    int size() {
        return byDeadline.size();
    }

    RequestTicket<T> first() {
        return byDeadline.firstEntry().getValue();
    }

    /** Tells whether a request that queues now would be answered before its deadline, at the present drain rate. */
    boolean canAnswerInTime(RequestTicket<T> ticket, long now) {
        if (!drainRate.isMeasured()) {
            return true;
        }
        int ahead = byDeadline
                .headMap(new Position(ticket.deadlineNanos(), Long.MAX_VALUE))
                .size();
        double waitNanos = waitNanos(ahead + 1, now);
        return waitNanos + responseNanos <= ticket.deadlineNanos() - now;
    }

    /** Returns when the queue as it is now will have drained. */
    Duration retryAfter(long now) {
        if (!drainRate.isMeasured()) {
            return AdmissionController.SHORTEST_RETRY_AFTER.multipliedBy(10);
        }
        double nanos = Math.min(waitNanos(size() + 1, now), (double) AdmissionController.LONGEST_RETRY_AFTER.toNanos());
        long bounded = Math.max((long) nanos, AdmissionController.SHORTEST_RETRY_AFTER.toNanos());
        return Duration.ofNanos(bounded);
    }

    void setCandidates(List<InstanceSlots> newCandidates) {
        candidates = List.copyOf(newCandidates);
    }

    void start() {
        inFlight++;
    }

    void end() {
        inFlight--;
    }

    void recordAnswer(Duration responseTime, long now) {
        drainRate.record(now);
        double nanos = responseTime.toNanos();
        responseNanos = responseNanos == 0 ? nanos : responseNanos + (nanos - responseNanos) / 16;
    }

    void add(RequestTicket<T> ticket) {
        Position position = new Position(ticket.deadlineNanos(), nextOrder++);
        byDeadline.put(position, ticket);
        positions.put(ticket, position);
    }

    void remove(RequestTicket<T> ticket) {
        Position position = positions.remove(ticket);
        if (position != null) {
            byDeadline.remove(position);
        }
    }

    RequestTicket<T> takeLast() {
        RequestTicket<T> last = byDeadline.lastEntry().getValue();
        remove(last);
        return last;
    }

    List<RequestTicket<T>> takeAll() {
        List<RequestTicket<T>> all = new ArrayList<>(byDeadline.values());
        byDeadline.clear();
        positions.clear();
        return all;
    }

    /** Removes the requests whose time is shorter than a response takes. */
    List<RequestTicket<T>> takeTooLate(long now) {
        List<RequestTicket<T>> late = new ArrayList<>();
        while (size() > 0 && first().deadlineNanos() - now < Math.max(1, responseNanos)) {
            RequestTicket<T> ticket = first();
            remove(ticket);
            late.add(ticket);
        }
        return late;
    }

    private double waitNanos(int ahead, long now) {
        double rate = drainPerSecond(now);
        return rate <= 0 ? Double.MAX_VALUE : ahead / rate * NANOS_PER_SECOND;
    }

    /**
     * Returns how many requests end in a second: what was counted, or by Little's law what is in flight divided by how
     * long it takes, if that is more. The count alone lags when a load rises that had left slots free.
     */
    private double drainPerSecond(long now) {
        double inFlightRate = responseNanos <= 0 ? 0 : inFlight * NANOS_PER_SECOND / responseNanos;
        return Math.max(inFlightRate, drainRate.perSecond(now));
    }

    private record Position(long deadlineNanos, long order) {}
}
