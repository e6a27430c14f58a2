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
    private static final Duration LAPSE_MARGIN = Duration.ofMillis(300);

    /** How long after a leader was replaced, unknown to itself, its orders may still go out. */
    private static final Duration REPLACED_LEADER_MARGIN = Duration.ofMillis(1_500);

    /** The times that the host keeps to. */
    private final HostLimits limits;

    /** When this leader began to follow the host, by the monotonic clock. */
    private final long beganNanos;

    /** The host's clock. */
    private final HostClock clock = new HostClock();

    /** The latest end of a lease that the host may have been given, by its own clock; zero for none. */
    private long untilMillis;

    /** Whether an earlier leader may have renewed the lease. */
    private boolean inherited;

    /** Whether the host certainly heeds no earlier leader any more. */
    private boolean earlierLeadersCutOff;

    HostLease(HostLimits limits, long beganNanos) {
        this.limits = limits;
        this.beganNanos = beganNanos;
    }

    /** Notes that an earlier leader may have renewed the lease. */
    void inherit() {
        inherited = true;
    }

    /** Notes that the host has carried out an order of this term and heeds no earlier leader any more. */
    void cutOffEarlierLeaders() {
        earlierLeadersCutOff = true;
    }

    /** Takes a reading of the host's clock. */
    void readClock(long millis, long nowNanos) {
        clock.read(millis, nowNanos);
        if (inherited && !earlierLeadersCutOff) {
            untilMillis = Math.max(untilMillis, millis + limits.longestLease().toMillis());
        }
    }

    /** Tells whether a lease can be asked for: the host's clock has been read. */
    boolean canBeRenewed() {
        return clock.isKnown();
    }

    /** Returns the end of a lease that is asked for now, by the host's clock, or zero if it cannot be asked for. */
    long renewed(long nowNanos) {
        if (!clock.isKnown()) {
            return 0;
        }
        long until = clock.aboutMillis(nowNanos) + limits.lease().toMillis();
        untilMillis = Math.max(untilMillis, until);
        return until;
    }

    /** Describes what shows that the lease has lapsed, once it has. */
    EndProof lapseProof(long reportAgeMillis, long answerAgeMillis, long nowNanos) {
        if (!clock.isKnown()) {
            return new EndProof.NeverHeardOf(TimeUnit.NANOSECONDS.toMillis(nowNanos - beganNanos));
        }
        return new EndProof.LeaseLapsed(
                clock.atLeastMillis(nowNanos),
                untilMillis,
                clock.ageMillis(nowNanos),
                reportAgeMillis,
                answerAgeMillis);
    }

    /** Tells whether every lease that the host may have been given has certainly been over for a while. */
    boolean hasLapsed(Duration longer, long nowNanos) {
        long marginMillis = LAPSE_MARGIN.plus(limits.stopGrace()).plus(longer).toMillis();
        if (!clock.isKnown()) {
            Duration longest =
                    limits.longestLease().plus(REPLACED_LEADER_MARGIN).plusMillis(marginMillis);
            return nowNanos - beganNanos > longest.toNanos() * 51 / 50;
        }
        if (untilMillis == 0) {
            return false;
        }
        long replacedMillis = inherited && !earlierLeadersCutOff ? REPLACED_LEADER_MARGIN.toMillis() : 0;
        return clock.atLeastMillis(nowNanos) > untilMillis + marginMillis + replacedMillis;
    }
}
