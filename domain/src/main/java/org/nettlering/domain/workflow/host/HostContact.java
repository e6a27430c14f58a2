package org.nettlering.domain.workflow.host;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.workflow.host.HostAnswer.OtherLife;
import org.nettlering.domain.workflow.host.HostAnswer.Silent;
import org.nettlering.domain.workflow.host.HostAnswer.Unsent;
import org.nettlering.domain.workflow.host.HostAnswer.Unwell;

/**
 * How one life of a host is in touch with the leader of one term: what it reports, whether it answers, whether it leaves.
 *
 * <p>Guarantees that a host that has said that it leaves counts as gone only some time after its last sign of life. Belongs
 * to a {@link HostSession}. Not thread-safe.
 */
final class HostContact {
    /** How long after the last report a host gets no new work: three reports of the slowest kind. */
    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(4_500);

    /** How long a host gets no new work after it refused some: what it has ends, or it is told of, by then. */
    private static final Duration REFUSED_PAUSE = Duration.ofMillis(500);

    /** How long after its last sign of life a host that leaves is gone: it says so again if it got no answer in a second. */
    private static final Duration LEAVE_MARGIN = Duration.ofMillis(1_500);

    /** When the session began, by the monotonic clock. */
    private final long beganNanos;

    /** The latest report, or null if none came in this term. */
    private @Nullable HostReport report;

    /** When it came, by the monotonic clock. */
    private long reportNanos;

    /** Whether the last order got no answer. */
    private boolean silent;

    /** When the host answered an order last, by the monotonic clock, or null if it never did. */
    private @Nullable Long answeredNanos;

    /** Until when the host gets no new work because it refused some, by the monotonic clock. */
    private long refusedUntilNanos;

    /** When this life ends for good, by the monotonic clock, or null while it goes on. */
    private @Nullable Long goneNanos;

    /** What shows that this life ends. */
    private EndProof goneProof = new EndProof.HostLeft();

    HostContact(long nowNanos) {
        beganNanos = nowNanos;
        refusedUntilNanos = nowNanos;
    }

    Optional<HostReport> report() {
        return Optional.ofNullable(report);
    }

    /** Tells whether the last order got no answer, or the host was not well. */
    boolean isSilent() {
        return silent;
    }

    /** Tells whether new work may be given to the host as far as its reports and answers show. */
    boolean takesWork(long nowNanos) {
        HostReport latest = report;
        return latest != null
                && !latest.draining()
                && goneNanos == null
                && !silent
                && nowNanos - refusedUntilNanos >= 0
                && isReporting(nowNanos);
    }

    /** Tells whether a report came lately. */
    boolean isReporting(long nowNanos) {
        return report != null && nowNanos - reportNanos < REPORT_TIMEOUT.toNanos();
    }

    /** Tells whether no report came for long. */
    boolean isUnheardForLong(long nowNanos) {
        return nowNanos - Math.max(reportNanos, beganNanos) > 4 * REPORT_TIMEOUT.toNanos();
    }

    /** Tells whether this life is over. A look that is out may still bring how the runs of a host that left have ended. */
    boolean isGone(boolean lookInFlight, long nowNanos) {
        Long gone = goneNanos;
        boolean mayStillTell = lookInFlight && goneProof instanceof EndProof.HostLeft;
        return gone != null && nowNanos - gone >= 0 && !mayStillTell;
    }

    /** Returns when this life is over, by the monotonic clock, or empty while it goes on. */
    OptionalLong goneNanos() {
        return goneNanos == null ? OptionalLong.empty() : OptionalLong.of(goneNanos);
    }

    /** Returns what shows that this life is over. */
    EndProof goneProof() {
        return goneProof;
    }

    /** Returns the age of the last report in milliseconds, or {@link EndProof#NEVER}. */
    long reportAgeMillis(long nowNanos) {
        return report == null ? EndProof.NEVER : TimeUnit.NANOSECONDS.toMillis(nowNanos - reportNanos);
    }

    /** Returns the age of the last answer in milliseconds, or {@link EndProof#NEVER}. */
    long answerAgeMillis(long nowNanos) {
        Long answered = answeredNanos;
        return answered == null ? EndProof.NEVER : TimeUnit.NANOSECONDS.toMillis(nowNanos - answered);
    }

    /** Takes a report; returns false if it is older than one that was taken. */
    boolean receive(HostReport latest, long nowNanos) {
        HostReport known = report;
        if (known != null && latest.sequence() <= known.sequence()) {
            return false;
        }
        report = latest;
        reportNanos = nowNanos;
        putOffLeaving(nowNanos);
        return true;
    }

    /** Notes that the host has said that it leaves. */
    void leave(long nowNanos) {
        if (goneNanos == null) {
            goneNanos = nowNanos + LEAVE_MARGIN.toNanos();
        }
        putOffLeaving(nowNanos);
    }

    /** Takes a sign of life of a host that has said that it leaves: it has not gone yet. */
    private void putOffLeaving(long nowNanos) {
        if (goneNanos != null && goneProof instanceof EndProof.HostLeft) {
            goneNanos = nowNanos + LEAVE_MARGIN.toNanos();
        }
    }

    /** Takes what came of an order. */
    void answered(HostAnswer answer, long nowNanos) {
        boolean unreached = answer instanceof Silent || answer instanceof Unsent;
        silent = unreached || answer instanceof Unwell;
        if (answer instanceof OtherLife) {
            goneNanos = nowNanos;
            goneProof = new EndProof.OtherLife();
        } else if (!unreached) {
            answeredNanos = nowNanos;
            putOffLeaving(nowNanos);
        }
    }

    /** Notes that the host refused work. */
    void refused(long nowNanos) {
        refusedUntilNanos = nowNanos + REFUSED_PAUSE.toNanos();
    }
}
