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
public final class OutlierEjection {
    /** How many failures in a row eject an upstream. */
    public static final int FAILURES_BEFORE_EJECTION = 3;

    /** How long the first ejection lasts; each further one lasts twice as long. */
    public static final Duration FIRST_EJECTION = Duration.ofSeconds(1);

    /** How long an ejection lasts at most. */
    public static final Duration LONGEST_EJECTION = Duration.ofSeconds(30);

    private static final int MAXIMUM_DOUBLINGS = 5;

    /** What is known of the upstreams that failed since their last answer. */
    private final Map<UpstreamAddress, Failures> failures = new HashMap<>();

    /**
     * Creates an ejection without failures.
     *
     * @return a new ejection, never null
     */
    public static OutlierEjection create() {
        return new OutlierEjection();
    }

    private OutlierEjection() {}

    /**
     * Tells whether an upstream is ejected, were it not for the half that stays in use.
     *
     * @param address the upstream, not null
     * @param nowNanos the monotonic time
     * @return true while its ejection lasts
     */
    public boolean isEjected(UpstreamAddress address, long nowNanos) {
        Failures known = failures.get(address);
        return known != null && known.isEjected(nowNanos);
    }

    /**
     * Returns the candidates that may be used.
     *
     * @param candidates all candidates, not null
     * @param nowNanos the monotonic time
     * @return those that are not ejected, and of the others the ones due back first until half are in use, never null
     */
    public List<InstanceSlots> usable(List<InstanceSlots> candidates, long nowNanos) {
        if (failures.isEmpty()) {
            return candidates;
        }
        List<InstanceSlots> usable = new ArrayList<>(candidates.size());
        List<InstanceSlots> ejected = new ArrayList<>();
        for (InstanceSlots candidate : candidates) {
            (isEjected(candidate.address(), nowNanos) ? ejected : usable).add(candidate);
        }
        int missing = (candidates.size() + 1) / 2 - usable.size();
        if (missing > 0) {
            ejected.sort(Comparator.comparingLong(candidate -> ejectedUntil(candidate) - nowNanos));
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
        failures.remove(address);
    }

    /**
     * Takes a failure that is the upstream's own, not its connection's.
     *
     * @param address the upstream, not null
     * @param nowNanos the monotonic time
     * @return true when the failure ejected the upstream
     */
    public boolean recordFailure(UpstreamAddress address, long nowNanos) {
        Failures before = failures.getOrDefault(address, Failures.NONE);
        if (before.isEjected(nowNanos)) {
            return false;
        }
        Failures after = before.plusOne(nowNanos);
        failures.put(address, after);
        return after.isEjected(nowNanos);
    }

    /**
     * Forgets an upstream that is gone.
     *
     * @param address the upstream, not null
     */
    public void forget(UpstreamAddress address) {
        failures.remove(address);
    }

    private long ejectedUntil(InstanceSlots candidate) {
        return failures.getOrDefault(candidate.address(), Failures.NONE).untilNanos();
    }

    private record Failures(int inARow, int ejections, long untilNanos) {
        static final Failures NONE = new Failures(0, 0, 0);

        boolean isEjected(long nowNanos) {
            return ejections > 0 && untilNanos - nowNanos > 0;
        }

        Failures plusOne(long nowNanos) {
            if (inARow + 1 < FAILURES_BEFORE_EJECTION) {
                return new Failures(inARow + 1, ejections, untilNanos);
            }
            long length = FIRST_EJECTION.toNanos() << Math.min(ejections, MAXIMUM_DOUBLINGS);
            long bounded = Math.min(length, LONGEST_EJECTION.toNanos());
            return new Failures(inARow, ejections + 1, nowNanos + bounded);
        }
    }
}
