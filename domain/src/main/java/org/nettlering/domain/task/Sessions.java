package org.nettlering.domain.task;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/** Applies what reports and ended leases prove. Not thread-safe. */
final class Sessions {
    /** Distinct workers on which a job fails before the job is at fault. */
    private static final int FAILURES_TO_GIVE_UP = 3;

    /** How long tasks may take to leave a worker that came back smaller. */
    private static final long SHRINK_GRACE_MILLIS = 10_000;

    /** What is changed. */
    private final Tables tables;

    Sessions(Tables tables) {
        this.tables = tables;
    }

    CommandOutcome register(TaskCommand.RegisterWorker command) {
        Worker worker = tables.workers.computeIfAbsent(command.workerId(), Worker::new);
        if (command.incarnation() < worker.incarnation) {
            return Tables.stale("worker \"" + worker.id() + "\" has registered with a later incarnation");
        }
        if (command.incarnation() > worker.incarnation) {
            releaseAbsent(worker, command);
        }
        tables.book.setIdle(worker, command.idleMilliwatts());
        worker.incarnation = command.incarnation();
        worker.session++;
        worker.live = true;
        worker.capacity = command.capacity();
        worker.rack = command.rack();
        worker.failureDomain = command.failureDomain();
        worker.explain(command.timeMillis(), "registered", "report", "offers " + command.capacity());
        evictOverflow(worker, command.timeMillis());
        return CommandOutcome.accepted();
    }

    private void releaseAbsent(Worker worker, TaskCommand.RegisterWorker command) {
        Set<TaskEpoch> running = Set.copyOf(command.running());
        for (Task task : List.copyOf(worker.tasks.values())) {
            if (!running.contains(new TaskEpoch(task.job().jobId(), task.epoch))) {
                tables.book.release(task, worker);
                lose(task, command.timeMillis(), "worker restarted", "incarnation " + command.incarnation());
            }
        }
    }

    private void evictOverflow(Worker worker, long timeMillis) {
        Resources kept = worker.committed;
        List<Task> latestFirst = new ArrayList<>(worker.tasks.values());
        latestFirst.sort(Comparator.comparingLong(Task::startedMillis)
                .thenComparing(task -> task.job().jobId())
                .reversed());
        for (Task task : latestFirst) {
            if (kept.fitsIn(worker.capacity)) {
                return;
            }
            kept = kept.minus(task.commitment);
            if (task.phase != TaskPhase.CANCELLING && task.phase != TaskPhase.CHECKPOINTING) {
                task.enter(TaskPhase.CHECKPOINTING, timeMillis);
                task.graceMillis = SHRINK_GRACE_MILLIS;
                task.explain(timeMillis, "to leave", "worker offers less", "offers " + worker.capacity);
                tables.book.touch(task);
            }
        }
    }

    CommandOutcome recordProgress(TaskCommand.RecordProgress command) {
        Task task = tables.tasks.get(command.jobId());
        if (task == null || !task.phase.isPlaced() || task.epoch != command.epoch()) {
            return Tables.staleEpoch(command.jobId(), command.epoch());
        }
        if (task.phase == TaskPhase.STARTING || task.phase == TaskPhase.RESUMING) {
            task.enter(TaskPhase.RUNNING, command.timeMillis());
            task.explain(command.timeMillis(), "running on " + task.workerId(), "report", "epoch " + task.epoch);
            tables.book.touch(task);
        }
        recordCheckpoint(task, command.checkpoint(), command.timeMillis());
        return CommandOutcome.accepted();
    }

    private static void recordCheckpoint(Task task, long checkpoint, long timeMillis) {
        if (checkpoint > task.checkpoint) {
            task.checkpoint = checkpoint;
            task.checkpointMillis = timeMillis;
        }
    }

    CommandOutcome recordEnd(TaskCommand.RecordEnd command) {
        Task task = tables.tasks.get(command.jobId());
        Worker worker = task == null ? null : task.worker;
        if (task == null || worker == null || task.epoch != command.epoch()) {
            return Tables.staleEpoch(command.jobId(), command.epoch());
        }
        TaskPhase before = task.phase;
        recordCheckpoint(task, command.checkpoint(), command.timeMillis());
        tables.book.release(task, worker);
        if (command.reason() == EndReason.COMPLETED) {
            FailureBlame.completed(task, worker, tables.workers, tables.book);
            tables.finish(task, TaskPhase.DONE, command.timeMillis(), "report", "completed on " + worker.id());
            return CommandOutcome.accepted();
        }
        if (before == TaskPhase.CANCELLING) {
            tables.finish(task, TaskPhase.CANCELLED, command.timeMillis(), "cancellation", "stopped on " + worker.id());
            return CommandOutcome.accepted();
        }
        switch (command.reason()) {
            case FAILED -> fail(task, worker, command);
            case LEASE_EXPIRED -> lose(task, command.timeMillis(), "lease expired on the worker", command.detail());
            case STOPPED, COMPLETED -> evicted(task, worker, command.timeMillis());
        }
        return CommandOutcome.accepted();
    }

    private void evicted(Task task, Worker worker, long timeMillis) {
        task.evictions++;
        task.enter(TaskPhase.EVICTED, timeMillis);
        task.explain(timeMillis, "evicted", "stopped on " + worker.id(), "checkpoint " + task.checkpoint);
    }

    private void fail(Task task, Worker worker, TaskCommand.RecordEnd command) {
        FailureBlame.failed(task, worker, tables.workers);
        tables.book.touch(worker);
        task.failedOn.add(worker.id());
        if (task.failedOn.size() >= FAILURES_TO_GIVE_UP) {
            tables.finish(
                    task,
                    TaskPhase.FAILED,
                    command.timeMillis(),
                    "failed on " + FAILURES_TO_GIVE_UP + " workers",
                    String.join(", ", task.failedOn) + ": " + command.detail());
            return;
        }
        task.enter(task.checkpoint > 0 ? TaskPhase.EVICTED : TaskPhase.PENDING, command.timeMillis());
        task.explain(command.timeMillis(), "to be tried again", "failed on " + worker.id(), command.detail());
    }

    CommandOutcome loseWorker(TaskCommand.LoseWorker command) {
        Worker worker = tables.workers.get(command.workerId());
        if (worker == null || !worker.live || worker.session != command.session()) {
            return Tables.stale(
                    "session " + command.session() + " of worker \"" + command.workerId() + "\" is not open");
        }
        worker.live = false;
        worker.explain(command.timeMillis(), "lost", "lease and clock-drift bound passed", "session " + worker.session);
        tables.book.touch(worker);
        for (Task task : List.copyOf(worker.tasks.values())) {
            tables.book.release(task, worker);
            lose(task, command.timeMillis(), "worker lost", "session " + worker.session + " of " + worker.id());
        }
        return CommandOutcome.accepted();
    }

    private void lose(Task task, long timeMillis, String rule, String figures) {
        if (task.phase == TaskPhase.CANCELLING) {
            tables.finish(task, TaskPhase.CANCELLED, timeMillis, rule, figures);
            return;
        }
        task.losses++;
        task.enter(TaskPhase.EVICTED, timeMillis);
        task.explain(timeMillis, "waits to resume from checkpoint " + task.checkpoint, rule, figures);
    }

    CommandOutcome quarantine(TaskCommand.Quarantine command) {
        Worker worker = tables.workers.get(command.workerId());
        if (worker == null) {
            return Tables.stale("worker \"" + command.workerId() + "\" is not known");
        }
        worker.quarantinedUntilMillis = command.untilMillis();
        if (command.untilMillis() > 0) {
            worker.quarantines++;
        }
        FailureBlame.quarantined(worker, tables.tasks);
        worker.explain(
                command.timeMillis(), "quarantined until " + command.untilMillis(), command.rule(), command.figures());
        tables.book.touch(worker);
        return CommandOutcome.accepted();
    }
}
