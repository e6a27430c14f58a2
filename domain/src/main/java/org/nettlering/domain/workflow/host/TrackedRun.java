package org.nettlering.domain.workflow.host;

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

    /** The pace of a run that was told nothing, in percent. */
    static final int FULL_PACE = 100;

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
    boolean stopInFlight;

    /** When the next stop may be sent, by the monotonic clock. */
    long nextStopNanos;

    /** Whether the host answered a stop. */
    boolean stopAnswered;

    /** When it did, by the monotonic clock. */
    long stopAnsweredNanos;

    /** Whether an end was found and waits to be logged. */
    boolean endFound;

    /** The newest saved progress, empty if none. */
    String checkpoint;

    /** How far the run is, as listed last. */
    int percent;

    /** When the percent last rose, by the monotonic clock. */
    long progressNanos;

    /** The load as listed last: milliseconds of tail, or millicores. */
    long load;

    /** The pace that is wanted, in percent. */
    int paceWanted = FULL_PACE;

    /** The pace that the host was told last, in percent, or {@link #UNKNOWN_PACE}. */
    private int paceTold = FULL_PACE;

    /** When the host took the first order to work at less than its full speed, by the monotonic clock. */
    long slowSinceNanos;

    /** Whether an order of pace is on its way. */
    boolean paceInFlight;

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

    /** Tells whether the host has to be told a pace. */
    boolean wantsPace() {
        return paceWanted != paceTold;
    }

    /** Returns the pace at which the run works as far as is known, in percent. */
    int pacePercent() {
        return Math.max(0, paceTold);
    }

    /** Takes note that the host has taken a pace. */
    void takePace(int percent, long nowNanos) {
        if (paceTold == FULL_PACE) {
            slowSinceNanos = nowNanos;
        }
        paceTold = percent;
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
