package org.nettlering.control.task;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.placement.Planner;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskState;
import org.nettlering.domain.task.Worker;
import org.nettlering.domain.worker.SessionLeases;
import org.nettlering.domain.worker.WorkerReport;
import org.nettlering.domain.worker.WorkerReportReconciler;

/**
 * What the leader of one term knows beside the replicated state.
 *
 * <p>Not thread-safe: used under the lock of {@link TaskPart}.
 */
final class Leadership {
    /** How many commands one record of the log may hold. */
    private static final int MAX_BATCH = 1_000;

    /** A leader that has not looked at the leases for this long was paused; shorter pauses end before a lease does. */
    private static final Duration PAUSE = SessionLeases.LEASE_DURATION.dividedBy(2);

    /** The term that this leadership belongs to. */
    private final long term;

    /** The session leases. */
    private final SessionLeases leases;

    /** Decides on starts and the rest. */
    private final Planner planner;

    /** Commands that wait to be proposed, without repetitions. */
    private final Map<Object, TaskCommand> outbox = new LinkedHashMap<>();

    /** When the leases were last looked at, or could have been but for a proposal under way, in monotonic time. */
    private long lastLookNanos;

    /** Whether a batch was proposed whose outcome is open. */
    private boolean proposing;

    Leadership(long term, Planner planner, long nowNanos) {
        this.term = term;
        this.leases = SessionLeases.startingAt(nowNanos);
        this.planner = planner;
        lastLookNanos = nowNanos;
    }

    long term() {
        return term;
    }

    /** Reads a report; returns whether the worker's lease is renewed. */
    boolean receive(TaskState state, WorkerReport report, long receivedNanos, long nowMillis) {
        if (!leases.accept(report)) {
            return false;
        }
        for (TaskCommand command : WorkerReportReconciler.commandsToPropose(state, report, nowMillis)) {
            outbox.put(key(command), command);
        }
        planner.observe(state, report, nowMillis);
        return state.worker(report.workerId())
                .filter(worker -> worker.isLive() && worker.incarnation() == report.incarnation())
                .map(worker -> leases.renew(worker, receivedNanos))
                .orElse(false);
    }

    /**
     * Returns the next batch to propose, or an empty list if one is under way or there is nothing to do.
     *
     * <p>Looking for leases that ended takes time in proportion to the number of workers, so it goes with planning, not with
     * every report.
     */
    List<TaskCommand> nextBatch(
            TaskState state, SiteConfiguration configuration, long nowNanos, long nowMillis, boolean plan) {
        if (plan) {
            noticePause(nowNanos);
        }
        if (proposing) {
            return List.of();
        }
        if (plan) {
            expireLeases(state, nowNanos, nowMillis);
        }
        List<TaskCommand> batch = new ArrayList<>();
        while (!outbox.isEmpty() && batch.size() < MAX_BATCH) {
            Object first = outbox.keySet().iterator().next();
            batch.add(outbox.remove(first));
        }
        if (plan && outbox.isEmpty()) {
            batch.addAll(planner.plan(state, configuration, nowMillis));
        }
        proposing = !batch.isEmpty();
        return batch;
    }

    /** Gives all workers a new lease if this leader was paused: it has not read the reports that came meanwhile. */
    private void noticePause(long nowNanos) {
        if (nowNanos - lastLookNanos > PAUSE.toNanos()) {
            leases.restart(nowNanos);
        }
        lastLookNanos = nowNanos;
    }

    private void expireLeases(TaskState state, long nowNanos, long nowMillis) {
        for (Worker worker : leases.expire(state.workers(), nowNanos)) {
            TaskCommand lost = new TaskCommand.MarkWorkerLost(nowMillis, worker.id(), worker.session());
            outbox.put(key(lost), lost);
        }
    }

    /** Notes that the outcome of the batch is known, or never will be. */
    void proposed() {
        proposing = false;
    }

    boolean hasOutbox() {
        return !outbox.isEmpty();
    }

    private static Object key(TaskCommand command) {
        return switch (command) {
            case TaskCommand.RecordProgress progress -> new Key("progress", progress.jobId(), progress.epoch());
            case TaskCommand.RecordTermination end -> new Key("end", end.jobId(), end.epoch());
            case TaskCommand.RegisterWorker register -> new Key("register", register.workerId(), 0);
            case TaskCommand.MarkWorkerLost lost -> new Key("lost", lost.workerId(), lost.session());
            case TaskCommand.ConfirmThrottle confirm -> new Key("throttle", confirm.jobId(), confirm.epoch());
            default -> command;
        };
    }

    /** What makes two commands from reports repetitions of each other; the later one replaces the earlier one. */
    private record Key(String kind, String id, long number) {}
}
