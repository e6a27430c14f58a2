package org.nettlering.domain.workflow.host;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * The lease that covers all runs on a host, measured by the host's clock.
 *
 * <p>It is measured only by readings of the incarnation that a response has identified: by the clock of another one, it would be granted
 * for longer than was asked for, or seem over. The lease counts as expired only when it has certainly expired: this holds for every expiry that this leader
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

    /** When this leader started to track the host or last heard of one of its incarnations before a response, by the monotonic clock. */
    private long lastUnidentifiedContactNanos;

    /** The latest lease expiry that the host may have been given, by its own clock; zero for none. */
    private long latestExpiryMillis;

    /** When this leader last sent a command with an expiry, by the monotonic clock, or null if it never did. */
    private @Nullable Long lastRenewalNanos;

    private boolean mayBeRenewedByEarlierLeader;

    /** Whether the host certainly ignores commands of earlier leaders. */
    private boolean earlierLeadersFenced;

    HostLease(HostTimings timings, long sessionStartNanos) {
        this.timings = timings;
        this.sessionStartNanos = sessionStartNanos;
        lastUnidentifiedContactNanos = sessionStartNanos;
    }

    /**
     * Returns the lease on the incarnation that follows this one. Expiries that were requested by the clock of this one are bounded only
     * by the longest lease there.
     */
    HostLease ofNextIncarnation(long nowNanos) {
        HostLease next = new HostLease(timings, nowNanos);
        next.lastRenewalNanos = lastRenewalNanos;
        next.markInherited();
        return next;
    }

    /** Records that an earlier leader may have renewed the lease. */
    void markInherited() {
        mayBeRenewedByEarlierLeader = true;
    }

    /** Records that the host has executed a command of this term and therefore ignores earlier leaders. */
    void markEarlierLeadersFenced() {
        earlierLeadersFenced = true;
    }

    /** Records contact with an incarnation that may have ended; it delays the expiry, but its clock measures nothing. */
    void recordUnidentifiedContact(long nowNanos) {
        lastUnidentifiedContactNanos = nowNanos;
    }

    /**
     * Uses a reading that may not tell of which incarnation it is, unless it is too high for the current one: it would let leases
     * seem over.
     */
    void recordUnidentifiedReading(long millis, long nowNanos) {
        if (!isClockAhead(millis, nowNanos)) {
            recordClockReading(millis, nowNanos);
        }
    }

    /** Uses a reading of the incarnation that a response has identified. */
    void recordClockReading(long millis, long nowNanos) {
        clock.recordReading(millis, nowNanos);
        if (mayBeRenewedByEarlierLeader && !earlierLeadersFenced) {
            latestExpiryMillis =
                    Math.max(latestExpiryMillis, millis + timings.maxLease().toMillis());
        }
    }

    /** Returns whether a reading shows that the host has started again: its clock is behind what it had certainly reached. */
    boolean isClockRestarted(long millis, long takenAfterNanos) {
        return clock.isRestarted(millis, takenAfterNanos);
    }

    /** Returns whether a reading is too high for the clock of this incarnation, so that it may be of another one. */
    boolean isClockAhead(long millis, long nowNanos) {
        return clock.isAhead(millis, nowNanos);
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
        lastRenewalNanos = nowNanos;
        long expiryMillis = clock.estimatedMillis(nowNanos) + timings.lease().toMillis();
        latestExpiryMillis = Math.max(latestExpiryMillis, expiryMillis);
        return expiryMillis;
    }

    /** Returns the evidence of the lease expiry; meaningful only once the lease has expired. */
    TerminationEvidence expiryEvidence(long heartbeatAgeMillis, long responseAgeMillis, long nowNanos) {
        if (!clock.isKnown()) {
            return new TerminationEvidence.NeverIdentified(
                    TimeUnit.NANOSECONDS.toMillis(nowNanos - sessionStartNanos), heartbeatAgeMillis);
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
            return nowNanos - lastUnidentifiedContactNanos > maxLeaseWithMargins.toNanos() * 51 / 50;
        }
        if (latestExpiryMillis == 0) {
            return false;
        }
        long deposedLeaderMarginMillis =
                mayBeRenewedByEarlierLeader && !earlierLeadersFenced ? DEPOSED_LEADER_MARGIN.toMillis() : 0;
        return clock.lowerBoundMillis(nowNanos) > latestExpiryMillis + marginMillis + deposedLeaderMarginMillis;
    }

    /**
     * Returns whether every lease has expired, including all margins, that any incarnation of the host may have been given: one that
     * started since it was last heard of takes an expiry by the clock of the earlier one for a later one, but grants no more than the
     * longest lease.
     */
    boolean hasExpiredForAnyIncarnation(long nowNanos) {
        Long renewalNanos = lastRenewalNanos;
        if (renewalNanos == null) {
            return true;
        }
        Duration longest = timings.maxLease().plus(EXPIRY_MARGIN).plus(timings.stopGrace());
        return nowNanos - renewalNanos > longest.toNanos() * 51 / 50;
    }

    /**
     * Returns the time by the host's clock until every lease that the host may have been given ends, in milliseconds,
     * negative if it is over; zero if none is known. For logs only.
     */
    long latestExpiryInMillis(long nowNanos) {
        return latestExpiryMillis == 0 ? 0 : latestExpiryMillis - clock.lowerBoundMillis(nowNanos);
    }
}
