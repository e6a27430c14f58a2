package org.nettlering.domain.workflow.host;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * The lease that covers all runs on a host, measured by the host's clock.
 *
 * <p>The lease counts as expired only when it has certainly expired: this holds for every expiry that this leader
 * requested and every one that an earlier leader may have requested, and even if the host's clock is slow. Not
 * thread-safe.
 */
final class HostLease {
    /** How long a run may outlast its lease, due to rounding or slow termination. */
    private static final Duration EXPIRY_MARGIN = Duration.ofMillis(300);

    /** How long a deposed leader that has not noticed its replacement may still send commands. */
    private static final Duration DEPOSED_LEADER_MARGIN = Duration.ofMillis(1_500);

    private final HostTimings timings;

    /** When this leader started to track the host, by the monotonic clock. */
    private final long sessionStartNanos;

    private final HostClock clock = new HostClock();

    /** The latest lease expiry that the host may have been given, by its own clock; zero for none. */
    private long latestExpiryMillis;

    private boolean mayBeRenewedByEarlierLeader;

    /** Whether the host certainly ignores commands of earlier leaders. */
    private boolean earlierLeadersFenced;

    HostLease(HostTimings timings, long sessionStartNanos) {
        this.timings = timings;
        this.sessionStartNanos = sessionStartNanos;
    }

    /** Records that an earlier leader may have renewed the lease. */
    void markInherited() {
        mayBeRenewedByEarlierLeader = true;
    }

    /** Records that the host has executed a command of this term and therefore ignores earlier leaders. */
    void markEarlierLeadersFenced() {
        earlierLeadersFenced = true;
    }

    void recordClockReading(long millis, long nowNanos) {
        clock.recordReading(millis, nowNanos);
        if (mayBeRenewedByEarlierLeader && !earlierLeadersFenced) {
            latestExpiryMillis =
                    Math.max(latestExpiryMillis, millis + timings.maxLease().toMillis());
        }
    }

    /** Returns whether a lease can be requested, which requires a reading of the host's clock. */
    boolean canBeRenewed() {
        return clock.isKnown();
    }

    /** Returns the expiry of a lease requested now, by the host's clock, or zero if none can be requested. */
    long renew(long nowNanos) {
        if (!clock.isKnown()) {
            return 0;
        }
        long expiryMillis = clock.estimatedMillis(nowNanos) + timings.lease().toMillis();
        latestExpiryMillis = Math.max(latestExpiryMillis, expiryMillis);
        return expiryMillis;
    }

    /** Returns the evidence of the lease expiry; meaningful only once the lease has expired. */
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

    /** Returns whether every lease that the host may have been given has expired, including all margins. */
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

    /**
     * Returns the time by the host's clock until every lease that the host may have been given ends, in milliseconds,
     * negative if it is over; zero if none is known. For logs only.
     */
    long latestExpiryInMillis(long nowNanos) {
        return latestExpiryMillis == 0 ? 0 : latestExpiryMillis - clock.lowerBoundMillis(nowNanos);
    }
}
