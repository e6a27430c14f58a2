package org.nettlering.domain.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.nettlering.domain.upstream.UpstreamAddress;

/**
 * Ejects upstreams after consecutive failures, with an ejection time that doubles with each ejection.
 *
 * <p>At least half of the candidates always remain usable, so that a fault that all of them share cannot eject all of
 * them. After an ejection has expired, one more failure ejects the upstream again; a success resets its state. Mutable
 * and not thread-safe: the owner guards it with a lock.
 */
public final class OutlierDetector {
    /** The number of consecutive failures that eject an upstream. */
    public static final int CONSECUTIVE_FAILURES_TO_EJECT = 3;

    /** The duration of the first ejection; each further one lasts twice as long. */
    public static final Duration INITIAL_EJECTION = Duration.ofSeconds(1);

    /** The maximum duration of an ejection. */
    public static final Duration MAXIMUM_EJECTION = Duration.ofSeconds(30);

    private static final int MAXIMUM_DOUBLINGS = 5;

    /** The state of the upstreams that failed since their last success. */
    private final Map<UpstreamAddress, FailureState> failureStates = new HashMap<>();

    /**
     * Creates a detector without recorded failures.
     *
     * @return a new detector, never null
     */
    public static OutlierDetector create() {
        return new OutlierDetector();
    }

    private OutlierDetector() {}

    /**
     * Returns whether an upstream is ejected; {@link #usable} may include it nevertheless.
     *
     * @param address the upstream, not null
     * @param nowNanos the monotonic time
     * @return true until its ejection expires
     */
    public boolean isEjected(UpstreamAddress address, long nowNanos) {
        FailureState state = failureStates.get(address);
        return state != null && state.isEjected(nowNanos);
    }

    /**
     * Returns the candidates that may get requests.
     *
     * @param candidates all candidates, not null
     * @param nowNanos the monotonic time
     * @return the candidates that are not ejected; if they are fewer than half, also those ejected ones whose ejection
     *     expires first, until half of the candidates are included; never null
     */
    public List<InstanceSlots> usable(List<InstanceSlots> candidates, long nowNanos) {
        if (failureStates.isEmpty()) {
            return candidates;
        }
        List<InstanceSlots> usable = new ArrayList<>(candidates.size());
        List<InstanceSlots> ejected = new ArrayList<>();
        for (InstanceSlots candidate : candidates) {
            (isEjected(candidate.address(), nowNanos) ? ejected : usable).add(candidate);
        }
        int missing = (candidates.size() + 1) / 2 - usable.size();
        if (missing > 0) {
            ejected.sort(Comparator.comparingLong(candidate -> ejectedUntilNanos(candidate) - nowNanos));
            usable.addAll(ejected.subList(0, missing));
        }
        return usable;
    }

    /**
     * Records a response of an upstream, which resets its failures and ejections.
     *
     * @param address the upstream, not null
     */
    public void recordSuccess(UpstreamAddress address) {
        failureStates.remove(address);
    }

    /**
     * Records a failure attributed to the upstream, not to its connection; ignored while the upstream is ejected.
     *
     * @param address the upstream, not null
     * @param nowNanos the monotonic time
     * @return true when the failure ejected the upstream
     */
    public boolean recordFailure(UpstreamAddress address, long nowNanos) {
        FailureState before = failureStates.getOrDefault(address, FailureState.NONE);
        if (before.isEjected(nowNanos)) {
            return false;
        }
        FailureState after = before.withFailure(nowNanos);
        failureStates.put(address, after);
        return after.isEjected(nowNanos);
    }

    /**
     * Removes the state of an upstream that is no longer used.
     *
     * @param address the upstream, not null
     */
    public void remove(UpstreamAddress address) {
        failureStates.remove(address);
    }

    private long ejectedUntilNanos(InstanceSlots candidate) {
        return failureStates
                .getOrDefault(candidate.address(), FailureState.NONE)
                .ejectedUntilNanos();
    }

    private record FailureState(int consecutiveFailures, int ejections, long ejectedUntilNanos) {
        static final FailureState NONE = new FailureState(0, 0, 0);

        boolean isEjected(long nowNanos) {
            return ejections > 0 && ejectedUntilNanos - nowNanos > 0;
        }

        FailureState withFailure(long nowNanos) {
            if (consecutiveFailures + 1 < CONSECUTIVE_FAILURES_TO_EJECT) {
                return new FailureState(consecutiveFailures + 1, ejections, ejectedUntilNanos);
            }
            long durationNanos = INITIAL_EJECTION.toNanos() << Math.min(ejections, MAXIMUM_DOUBLINGS);
            long boundedNanos = Math.min(durationNanos, MAXIMUM_EJECTION.toNanos());
            return new FailureState(consecutiveFailures, ejections + 1, nowNanos + boundedNanos);
        }
    }
}
