package org.nettlering.domain.workflow.host;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.workflow.ActiveRun;

/** A run that may be at work on a host, as the leader follows it. Belongs to a {@link HostSession}. Not thread-safe. */
final class TrackedRun {
    /** How much is known of the run. */
    enum Stage {
        /** An earlier leader logged the start; whether the host got the order is not known. */
        INHERITED,
        /** The start was logged; the order is not sent yet. */
        TO_SEND,
        /** The order is on its way. */
        SENT,
        /** The order got no answer: it may have been carried out, or may be later. */
        UNANSWERED,
        /** The host has confirmed the run. */
        CONFIRMED
    }

    /** How long to wait for the effect of a stop before it is sent again. */
    static final Duration STOP_PAUSE = Duration.ofMillis(400);

    /** The pace of a run that was told nothing, in percent. */
    private static final int FULL_PACE = 100;

    /** Stands for the pace of a run to which an earlier leader may have told one. */
    private static final int UNKNOWN_PACE = -1;

    /** The run. */
    final ActiveRun run;

    /** What the task is to do; empty for an inherited run, which is never sent again. */
    final String taskSpecification;

    /** The permission of the queue's policy, empty if none is needed. */
    final String ticket;

    /** How much is known. */
    Stage stage;

    /** When the host confirmed the run, by the monotonic clock. */
    long confirmedNanos;

    /** Whether the run has to stop. */
    boolean stopWanted;

    /** Whether a stop is on its way. */
    private boolean stopInFlight;

    /** When the next stop may be sent, by the monotonic clock. */
    private long nextStopNanos;

    /** Whether the host answered a stop. */
    private boolean stopAnswered;

    /** When it did, by the monotonic clock. */
    private long stopAnsweredNanos;

    /** Whether an end was found and waits to be logged. */
    boolean endFound;

    /** What showed the end that was found, or null while none was. */
    @Nullable
    EndProof proof;

    /** The newest saved progress, empty if none. */
    String checkpoint;

    /** How far the run is, as listed last. */
    private int percent;

    /** When the percent last rose, by the monotonic clock. */
    private long progressNanos;

    /** The load as listed last: milliseconds of tail, or millicores. */
    private long load;

    /** The pace that is wanted, in percent. */
    private int paceWanted = FULL_PACE;

    /** The pace that the host was told last, in percent, or {@link #UNKNOWN_PACE}. */
    private int paceTold = FULL_PACE;

    /** When the host took the first order to work at less than its full speed, by the monotonic clock. */
    private long slowSinceNanos;

    /** Whether an order of pace is on its way. */
    private boolean paceInFlight;

    /** Whether the run was listed at work. */
    boolean listed;

    TrackedRun(ActiveRun run, String taskSpecification, String ticket, Stage stage, long nowNanos) {
        this.run = run;
        this.taskSpecification = taskSpecification;
        this.ticket = ticket;
        this.stage = stage;
        this.checkpoint = run.checkpoint();
        this.nextStopNanos = nowNanos;
        this.progressNanos = nowNanos;
    }

    /** Takes note that an earlier leader may have told the host a pace. */
    void forgetPace(long nowNanos) {
        paceTold = UNKNOWN_PACE;
        slowSinceNanos = nowNanos;
    }

    void wantPace(int percent) {
        paceWanted = percent;
    }

    /** Takes note that an end was found, and of what showed it. */
    void foundEnd(EndProof shownBy) {
        endFound = true;
        proof = shownBy;
    }

    /** Tells whether the host itself listed the end that was found. */
    boolean isEndListed() {
        return proof instanceof EndProof.Listed;
    }

    /** Returns the order that the host is owed for this run, and takes it as sent. */
    Optional<HostOrder> dueOrder(long token, HostLease lease, boolean silent, long nowNanos) {
        if (endFound) {
            return Optional.empty();
        }
        if (stage == Stage.TO_SEND) {
            return lease.canBeRenewed() && !stopWanted
                    ? Optional.of(startOrder(token, lease.renewed(nowNanos)))
                    : Optional.empty();
        }
        if (stopWanted) {
            return isStopDue(nowNanos) ? Optional.of(stopOrder(token)) : Optional.empty();
        }
        return isPaceDue(silent) ? Optional.of(paceOrder(token)) : Optional.empty();
    }

    private HostOrder startOrder(long token, long leaseUntilMillis) {
        stage = Stage.SENT;
        return new HostOrder.Start(token, run, taskSpecification, leaseUntilMillis, ticket);
    }

    private boolean isStopDue(long nowNanos) {
        return !stopInFlight && !stopAnswered && nowNanos - nextStopNanos >= 0;
    }

    /** Returns when a stop that nothing else holds up falls due, or empty. */
    OptionalLong nextStopNanos() {
        boolean pending = !endFound && stage != Stage.TO_SEND && stopWanted && !stopInFlight && !stopAnswered;
        return pending ? OptionalLong.of(nextStopNanos) : OptionalLong.empty();
    }

    private HostOrder stopOrder(long token) {
        stopInFlight = true;
        return new HostOrder.Stop(run.host(), token, run.run());
    }

    private boolean isPaceDue(boolean silent) {
        return stage == Stage.CONFIRMED && !paceInFlight && !silent && paceWanted != paceTold;
    }

    private HostOrder paceOrder(long token) {
        paceInFlight = true;
        return new HostOrder.Pace(run.host(), token, run.run(), paceWanted);
    }

    /** Takes what came of a stop. */
    void stopAnswered(boolean accepted, long nowNanos) {
        stopInFlight = false;
        nextStopNanos = nowNanos + STOP_PAUSE.toNanos();
        if (accepted) {
            stopAnswered = true;
            stopAnsweredNanos = nowNanos;
        }
    }

    /** Has the stop sent again if the run is still listed long after the host answered it. */
    void repeatStopAfter(Duration grace, long nowNanos) {
        if (stopAnswered
                && nowNanos - stopAnsweredNanos > grace.plus(STOP_PAUSE).toNanos()) {
            stopAnswered = false;
        }
    }

    /** Tells whether the grace of an answered stop was over when a look was sent. */
    boolean wasStoppedBefore(Duration grace, long sentNanos) {
        return stopAnswered && sentNanos - stopAnsweredNanos >= grace.toNanos();
    }

    /** Takes what came of an order of pace. */
    void paceAnswered(int percentTold, boolean accepted, long nowNanos) {
        paceInFlight = false;
        if (!accepted) {
            return;
        }
        if (paceTold == FULL_PACE) {
            slowSinceNanos = nowNanos;
        }
        paceTold = percentTold;
    }

    /** Returns what the last look told of the run. */
    RunLoad toLoad() {
        return new RunLoad(run.run(), load, Math.max(0, paceTold), percent, progressNanos, slowSinceNanos);
    }

    void confirm(long nowNanos) {
        if (stage != Stage.CONFIRMED) {
            stage = Stage.CONFIRMED;
            confirmedNanos = nowNanos;
        }
    }

    void list(HostAnswer.ListedRun row, long nowNanos) {
        confirm(nowNanos);
        listed = true;
        if (!row.checkpoint().isEmpty()) {
            checkpoint = row.checkpoint();
        }
        if (row.percent() > percent) {
            progressNanos = nowNanos;
        }
        percent = row.percent();
        load = row.load();
    }
}
