package org.nettlering.domain.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.nettlering.domain.upstream.UpstreamAddress;

/**
 * Leaves out upstreams that fail again and again, for a while that grows with each time.
 *
 * <p>At least half of the candidates always stay in use, so that a fault that all of them share cannot eject everyone.
 * Mutable and not thread-safe: its owner guards it by a lock.
 */
public final class OutlierDetector {
    /** How many failures in a row eject an upstream. */
    public static final int CONSECUTIVE_FAILURES_TO_EJECT = 3;

    /** How long the first ejection lasts; each further one lasts twice as long. */
    public static final Duration INITIAL_EJECTION = Duration.ofSeconds(1);

    /** How long an ejection lasts at most. */
    public static final Duration MAXIMUM_EJECTION = Duration.ofSeconds(30);

    private static final int MAXIMUM_DOUBLINGS = 5;

    /** What is known of the upstreams that failed since their last answer. */
    private final Map<UpstreamAddress, FailureState> failureStates = new HashMap<>();

    /**
     * Creates an ejection without failures.
     *
     * @return a new ejection, never null
     */
    public static OutlierDetector create() {
        return new OutlierDetector();
    }

    private OutlierDetector() {}

    /**
     * Tells whether an upstream is ejected, were it not for the half that stays in use.
     *
     * @param address the upstream, not null
     * @param nowNanos the monotonic time
     * @return true while its ejection lasts
     */
    public boolean isEjected(UpstreamAddress address, long nowNanos) {
        FailureState state = failureStates.get(address);
        return state != null && state.isEjected(nowNanos);
    }

    /**
     * Returns the candidates that may be used.
     *
     * @param candidates all candidates, not null
     * @param nowNanos the monotonic time
     * @return those that are not ejected, and of the others the ones due back first until half are in use, never null
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
     * Takes an answer of an upstream.
     *
     * @param address the upstream, not null
     */
    public void recordSuccess(UpstreamAddress address) {
        failureStates.remove(address);
    }

    /**
     * Takes a failure that is the upstream's own, not its connection's.
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
     * Forgets an upstream that is gone.
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
