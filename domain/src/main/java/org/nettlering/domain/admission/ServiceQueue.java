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
 * The queued requests of one service, ordered by deadline, and the rate at which the service completes requests.
 *
 * <p>Mutable and not thread-safe: {@link AdmissionController} guards it with its lock.
 *
 * @param <T> the type of the request payload
 */
final class ServiceQueue<T> {
    private static final double NANOS_PER_SECOND = 1_000_000_000.0;

    /** The requests by deadline; requests with the same deadline are in order of arrival. */
    private final TreeMap<Position, AdmissionRequest<T>> byDeadline =
            new TreeMap<>(Comparator.comparingLong(Position::deadlineNanos).thenComparingLong(Position::sequence));

    private final Map<AdmissionRequest<T>, Position> positions = new HashMap<>();

    private final DrainRate drainRate;

    private List<InstanceSlots> candidates = List.of();

    /** The smoothed response time, zero before the first response. */
    private double smoothedResponseNanos;

    private int inFlight;

    private long nextSequence;

    ServiceQueue(long nowNanos) {
        drainRate = DrainRate.startingAt(nowNanos);
    }

    static <T> Comparator<AdmissionRequest<T>> mostUrgentFirst() {
        return Comparator.<AdmissionRequest<T>>comparingInt(AdmissionRequest::urgency)
                .reversed()
                .thenComparingLong(AdmissionRequest::deadlineNanos);
    }

    List<InstanceSlots> candidates() {
        return candidates;
    }

    int size() {
        return byDeadline.size();
    }

    AdmissionRequest<T> first() {
        return byDeadline.firstEntry().getValue();
    }

    /** Returns whether a request that is queued now would meet its deadline at the current drain rate. */
    boolean canMeetDeadline(AdmissionRequest<T> request, long now) {
        if (!drainRate.hasEnoughSamples()) {
            return true;
        }
        int ahead = byDeadline
                .headMap(new Position(request.deadlineNanos(), Long.MAX_VALUE))
                .size();
        double waitNanos = estimateWaitNanos(ahead + 1, now);
        return waitNanos + smoothedResponseNanos <= request.deadlineNanos() - now;
    }

    /** Returns the estimated time until the current queue has drained, within the bounds of a retry delay. */
    Duration retryAfter(long now) {
        if (!drainRate.hasEnoughSamples()) {
            return AdmissionController.MINIMUM_RETRY_AFTER.multipliedBy(10);
        }
        double nanos = Math.min(
                estimateWaitNanos(size() + 1, now), (double) AdmissionController.MAXIMUM_RETRY_AFTER.toNanos());
        long bounded = Math.max((long) nanos, AdmissionController.MINIMUM_RETRY_AFTER.toNanos());
        return Duration.ofNanos(bounded);
    }

    void setCandidates(List<InstanceSlots> newCandidates) {
        candidates = List.copyOf(newCandidates);
    }

    void requestStarted() {
        inFlight++;
    }

    void requestFinished() {
        inFlight--;
    }

    void recordResponse(Duration responseTime, long now) {
        drainRate.recordCompletion(now);
        double nanos = responseTime.toNanos();
        smoothedResponseNanos =
                smoothedResponseNanos == 0 ? nanos : smoothedResponseNanos + (nanos - smoothedResponseNanos) / 16;
    }

    void add(AdmissionRequest<T> request) {
        Position position = new Position(request.deadlineNanos(), nextSequence++);
        byDeadline.put(position, request);
        positions.put(request, position);
    }

    void remove(AdmissionRequest<T> request) {
        Position position = positions.remove(request);
        if (position != null) {
            byDeadline.remove(position);
        }
    }

    AdmissionRequest<T> removeLast() {
        AdmissionRequest<T> last = byDeadline.lastEntry().getValue();
        remove(last);
        return last;
    }

    List<AdmissionRequest<T>> removeAll() {
        List<AdmissionRequest<T>> all = new ArrayList<>(byDeadline.values());
        byDeadline.clear();
        positions.clear();
        return all;
    }

    /** Removes the requests whose remaining time is shorter than the smoothed response time. */
    List<AdmissionRequest<T>> removeExpired(long now) {
        List<AdmissionRequest<T>> expired = new ArrayList<>();
        while (size() > 0 && first().deadlineNanos() - now < Math.max(1, smoothedResponseNanos)) {
            AdmissionRequest<T> request = first();
            remove(request);
            expired.add(request);
        }
        return expired;
    }

    private double estimateWaitNanos(int ahead, long now) {
        double rate = drainPerSecond(now);
        return rate <= 0 ? Double.MAX_VALUE : ahead / rate * NANOS_PER_SECOND;
    }

    /**
     * Returns the larger of the measured completion rate and the rate by Little's law, which is the number of requests
     * in flight divided by the response time. The measured rate alone lags when the load rises while slots were free.
     */
    private double drainPerSecond(long now) {
        double inFlightRate = smoothedResponseNanos <= 0 ? 0 : inFlight * NANOS_PER_SECOND / smoothedResponseNanos;
        return Math.max(inFlightRate, drainRate.perSecond(now));
    }

    private record Position(long deadlineNanos, long sequence) {}
}
