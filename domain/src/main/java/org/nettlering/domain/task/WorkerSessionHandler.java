package org.nettlering.domain.task;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/** Applies commands that follow from worker reports, expired leases and quarantine decisions. Not thread-safe. */
final class WorkerSessionHandler {
    /** A job fails for good after failures on this many distinct workers. */
    private static final int MAX_FAILED_WORKERS = 3;

    /** Time to write a checkpoint for tasks that are evicted because the capacity of their worker shrank. */
    private static final long CAPACITY_REDUCTION_GRACE_MILLIS = 10_000;

    private final StateTables tables;

    WorkerSessionHandler(StateTables tables) {
        this.tables = tables;
    }

    TaskCommandResult register(TaskCommand.RegisterWorker command) {
        Worker worker = tables.workers.computeIfAbsent(command.workerId(), Worker::new);
        if (command.incarnation() < worker.incarnation) {
            return StateTables.rejectStale(
                    "worker \"" + worker.id() + "\" has already registered with a later incarnation");
        }
        if (command.incarnation() > worker.incarnation) {
            releaseUnreported(worker, command);
        }
        tables.allocations.setIdlePower(worker, command.idleMilliwatts());
        worker.incarnation = command.incarnation();
        worker.session++;
        worker.live = true;
        worker.capacity = command.capacity();
        worker.rack = command.rack();
        worker.failureDomain = command.failureDomain();
        worker.recordDecision(command.timeMillis(), "registered", "report", "offers " + command.capacity());
        evictExcessTasks(worker, command.timeMillis());
        return TaskCommandResult.accepted();
    }

    private void releaseUnreported(Worker worker, TaskCommand.RegisterWorker command) {
        Set<TaskEpoch> running = Set.copyOf(command.running());
        for (Task task : List.copyOf(worker.tasks.values())) {
            if (!running.contains(new TaskEpoch(task.job().jobId(), task.epoch))) {
                tables.allocations.release(task, worker);
                recordLoss(task, command.timeMillis(), "worker restarted", "incarnation " + command.incarnation());
            }
        }
    }

    private void evictExcessTasks(Worker worker, long timeMillis) {
        Resources allocated = worker.allocated;
        List<Task> newestFirst = new ArrayList<>(worker.tasks.values());
        newestFirst.sort(Comparator.comparingLong(Task::startedMillis)
                .thenComparing(task -> task.job().jobId())
                .reversed());
        for (Task task : newestFirst) {
            if (allocated.fitsIn(worker.capacity)) {
                return;
            }
            allocated = allocated.minus(task.allocation);
            if (task.phase != TaskPhase.CANCELLING && task.phase != TaskPhase.CHECKPOINTING) {
                task.enterPhase(TaskPhase.CHECKPOINTING, timeMillis);
                task.graceMillis = CAPACITY_REDUCTION_GRACE_MILLIS;
                task.recordDecision(timeMillis, "to leave", "worker offers less", "offers " + worker.capacity);
                tables.allocations.markChanged(task);
            }
        }
    }

    TaskCommandResult recordProgress(TaskCommand.RecordProgress command) {
        Task task = tables.tasks.get(command.jobId());
        if (task == null || !task.phase.isPlaced() || task.epoch != command.epoch()) {
            return StateTables.rejectStaleEpoch(command.jobId(), command.epoch());
        }
        if (task.phase == TaskPhase.STARTING || task.phase == TaskPhase.RESUMING) {
            task.enterPhase(TaskPhase.RUNNING, command.timeMillis());
            task.recordDecision(command.timeMillis(), "running on " + task.workerId(), "report", "epoch " + task.epoch);
            tables.allocations.markChanged(task);
        }
        recordCheckpoint(task, command.checkpoint(), command.timeMillis());
        return TaskCommandResult.accepted();
    }

    private static void recordCheckpoint(Task task, long checkpoint, long timeMillis) {
        if (checkpoint > task.checkpoint) {
            task.checkpoint = checkpoint;
            task.checkpointMillis = timeMillis;
        }
    }

    TaskCommandResult recordTermination(TaskCommand.RecordTermination command) {
        Task task = tables.tasks.get(command.jobId());
        Worker worker = task == null ? null : task.worker;
        if (task == null || worker == null || task.epoch != command.epoch()) {
            return StateTables.rejectStaleEpoch(command.jobId(), command.epoch());
        }
        TaskPhase previousPhase = task.phase;
        recordCheckpoint(task, command.checkpoint(), command.timeMillis());
        tables.allocations.release(task, worker);
        if (command.reason() == TerminationReason.COMPLETED) {
            FailureAttribution.recordCompletion(task, worker, tables.workers, tables.allocations);
            tables.finish(task, TaskPhase.DONE, command.timeMillis(), "report", "completed on " + worker.id());
            return TaskCommandResult.accepted();
        }
        if (previousPhase == TaskPhase.CANCELLING) {
            tables.finish(task, TaskPhase.CANCELLED, command.timeMillis(), "cancellation", "stopped on " + worker.id());
            return TaskCommandResult.accepted();
        }
        switch (command.reason()) {
            case FAILED -> recordFailure(task, worker, command);
            case LEASE_EXPIRED ->
                recordLoss(task, command.timeMillis(), "lease expired on the worker", command.detail());
            case STOPPED, COMPLETED -> recordEviction(task, worker, command.timeMillis());
        }
        return TaskCommandResult.accepted();
    }

    private void recordEviction(Task task, Worker worker, long timeMillis) {
        task.evictions++;
        task.enterPhase(TaskPhase.EVICTED, timeMillis);
        task.recordDecision(timeMillis, "evicted", "stopped on " + worker.id(), "checkpoint " + task.checkpoint);
    }

    private void recordFailure(Task task, Worker worker, TaskCommand.RecordTermination command) {
        FailureAttribution.recordFailure(task, worker, tables.workers);
        tables.allocations.markChanged(worker);
        task.failedWorkerIds.add(worker.id());
        if (task.failedWorkerIds.size() >= MAX_FAILED_WORKERS) {
            tables.finish(
                    task,
                    TaskPhase.FAILED,
                    command.timeMillis(),
                    "failed on " + MAX_FAILED_WORKERS + " workers",
                    String.join(", ", task.failedWorkerIds) + ": " + command.detail());
            return;
        }
        task.enterPhase(task.checkpoint > 0 ? TaskPhase.EVICTED : TaskPhase.PENDING, command.timeMillis());
        task.recordDecision(command.timeMillis(), "to be tried again", "failed on " + worker.id(), command.detail());
    }

    TaskCommandResult markWorkerLost(TaskCommand.MarkWorkerLost command) {
        Worker worker = tables.workers.get(command.workerId());
        if (worker == null || !worker.live || worker.session != command.session()) {
            return StateTables.rejectStale(
                    "session " + command.session() + " of worker \"" + command.workerId() + "\" is not open");
        }
        worker.live = false;
        worker.recordDecision(
                command.timeMillis(), "lost", "lease and clock-drift bound passed", "session " + worker.session);
        tables.allocations.markChanged(worker);
        for (Task task : List.copyOf(worker.tasks.values())) {
            tables.allocations.release(task, worker);
            recordLoss(task, command.timeMillis(), "worker lost", "session " + worker.session + " of " + worker.id());
        }
        return TaskCommandResult.accepted();
    }

    private void recordLoss(Task task, long timeMillis, String rule, String details) {
        if (task.phase == TaskPhase.CANCELLING) {
            tables.finish(task, TaskPhase.CANCELLED, timeMillis, rule, details);
            return;
        }
        task.workerLosses++;
        task.enterPhase(TaskPhase.EVICTED, timeMillis);
        task.recordDecision(timeMillis, "waits to resume from checkpoint " + task.checkpoint, rule, details);
    }

    TaskCommandResult quarantine(TaskCommand.Quarantine command) {
        Worker worker = tables.workers.get(command.workerId());
        if (worker == null) {
            return StateTables.rejectStale("worker \"" + command.workerId() + "\" is unknown");
        }
        worker.quarantinedUntilMillis = command.untilMillis();
        if (command.untilMillis() > 0) {
            worker.quarantines++;
        }
        FailureAttribution.clearFailures(worker, tables.tasks);
        worker.recordDecision(
                command.timeMillis(), "quarantined until " + command.untilMillis(), command.rule(), command.details());
        tables.allocations.markChanged(worker);
        return TaskCommandResult.accepted();
    }
}
