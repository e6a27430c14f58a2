package org.nettlering.domain.workflow.host;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * The lease of all that runs on a host, by the host's own clock.
 *
 * <p>Guarantees that a lease counts as lapsed only when it has ended for certain: whatever this leader asked for, whatever an
 * earlier leader may have asked for, and even if the host's clock is slow. Not thread-safe.
 */
final class HostLease {
    /** How much longer than its lease a run is taken to last, for what is rounded or ends slowly. */
    private static final Duration EXPIRY_MARGIN = Duration.ofMillis(300);

    /** How long after a leader was replaced, unknown to itself, its orders may still go out. */
    private static final Duration DEPOSED_LEADER_MARGIN = Duration.ofMillis(1_500);

    /** The times that the host keeps to. */
    private final HostTimings timings;

    /** When this leader began to follow the host, by the monotonic clock. */
    private final long sessionStartNanos;

    /** The host's clock. */
    private final HostClock clock = new HostClock();

    /** The latest end of a lease that the host may have been given, by its own clock; zero for none. */
    private long latestExpiryMillis;

    /** Whether an earlier leader may have renewed the lease. */
    private boolean mayBeRenewedByEarlierLeader;

    /** Whether the host certainly heeds no earlier leader any more. */
    private boolean earlierLeadersFenced;

    HostLease(HostTimings timings, long sessionStartNanos) {
        this.timings = timings;
        this.sessionStartNanos = sessionStartNanos;
    }

    /** Notes that an earlier leader may have renewed the lease. */
    void markInherited() {
        mayBeRenewedByEarlierLeader = true;
    }

    /** Notes that the host has carried out an order of this term and heeds no earlier leader any more. */
    void markEarlierLeadersFenced() {
        earlierLeadersFenced = true;
    }

    /** Takes a reading of the host's clock. */
    void recordClockReading(long millis, long nowNanos) {
        clock.recordReading(millis, nowNanos);
        if (mayBeRenewedByEarlierLeader && !earlierLeadersFenced) {
            latestExpiryMillis =
                    Math.max(latestExpiryMillis, millis + timings.maxLease().toMillis());
        }
    }

    /** Tells whether a lease can be asked for: the host's clock has been read. */
    boolean canBeRenewed() {
        return clock.isKnown();
    }

    /** Returns the end of a lease that is asked for now, by the host's clock, or zero if it cannot be asked for. */
    long renew(long nowNanos) {
        if (!clock.isKnown()) {
            return 0;
        }
        long expiryMillis = clock.estimatedMillis(nowNanos) + timings.lease().toMillis();
        latestExpiryMillis = Math.max(latestExpiryMillis, expiryMillis);
        return expiryMillis;
    }

    /** Describes what shows that the lease has lapsed, once it has. */
    TerminationEvidence expiryEvidence(long heartbeatAgeMillis, long responseAgeMillis, long nowNanos) {
        if (!clock.isKnown()) {
            return new TerminationEvidence.NeverHeardOf(TimeUnit.NANOSECONDS.toMillis(nowNanos - sessionStartNanos));
        }
        return new TerminationEvidence.LeaseLapsed(
                clock.lowerBoundMillis(nowNanos),
                latestExpiryMillis,
                clock.readingAgeMillis(nowNanos),
                heartbeatAgeMillis,
                responseAgeMillis);
    }

    /** Tells whether every lease that the host may have been given has certainly been over for a while. */
    boolean hasExpired(Duration additionalMargin, long nowNanos) {
        long marginMillis =
                EXPIRY_MARGIN.plus(timings.stopGrace()).plus(additionalMargin).toMillis();
        if (!clock.isKnown()) {
            Duration maxLeaseWithMargins =
                    timings.maxLease().plus(DEPOSED_LEADER_MARGIN).plusMillis(marginMillis);
            return nowNanos - sessionStartNanos > maxLeaseWithMargins.toNanos() * 51 / 50;
        }
        if (latestExpiryMillis == 0) {
            return false;
        }
        long deposedLeaderMarginMillis =
                mayBeRenewedByEarlierLeader && !earlierLeadersFenced ? DEPOSED_LEADER_MARGIN.toMillis() : 0;
        return clock.lowerBoundMillis(nowNanos) > latestExpiryMillis + marginMillis + deposedLeaderMarginMillis;
    }
}
