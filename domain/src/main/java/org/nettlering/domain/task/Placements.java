package org.nettlering.domain.task;

import org.nettlering.domain.error.ErrorCode;

/** Applies the decisions of the planner. Not thread-safe. */
final class Placements {
    /** What is changed. */
    private final Tables tables;

    Placements(Tables tables) {
        this.tables = tables;
    }

    CommandOutcome start(TaskCommand.Start command, long capMilliwatts) {
        Task task = tables.tasks.get(command.jobId());
        Worker worker = tables.workers.get(command.workerId());
        if (task == null || !task.phase.isWaiting()) {
            return Tables.stale("job \"" + command.jobId() + "\" does not wait for a start");
        }
        if (worker == null || !worker.live || worker.quarantinedUntilMillis > command.timeMillis()) {
            return Tables.stale("worker \"" + command.workerId() + "\" takes no task");
        }
        if (!command.commitment().fitsIn(worker.free())) {
            return Tables.stale("worker \"" + worker.id() + "\" has only " + worker.free() + " left");
        }
        long milliwatts = Task.scaled(command.powerMilliwatts(), command.throttlePercent());
        if (tables.book.committedMilliwatts() + milliwatts > capMilliwatts) {
            return Tables.stale("the power cap leaves no room for job \"" + command.jobId() + "\"");
        }
        task.epoch++;
        task.commitment = command.commitment();
        task.powerMilliwatts = command.powerMilliwatts();
        task.committedPercent = command.throttlePercent();
        task.throttlePercent = command.throttlePercent();
        task.throttleVersion++;
        task.throttledMillis = command.timeMillis();
        task.startedMillis = command.timeMillis();
        task.resumedFrom = task.checkpoint;
        task.enter(task.epoch == 1 ? TaskPhase.STARTING : TaskPhase.RESUMING, command.timeMillis());
        tables.book.commit(task, worker);
        task.explain(
                command.timeMillis(),
                "start on " + worker.id() + ", epoch " + task.epoch + ", checkpoint " + task.checkpoint,
                command.rule(),
                command.figures());
        return CommandOutcome.accepted();
    }

    CommandOutcome throttle(TaskCommand.Throttle command, long capMilliwatts) {
        Task task = tables.tasks.get(command.jobId());
        Worker worker = task == null ? null : task.worker;
        if (task == null || worker == null || task.epoch != command.epoch()) {
            return Tables.staleEpoch(command.jobId(), command.epoch());
        }
        if (command.throttlePercent() < 1 || command.throttlePercent() > Task.FULL_SPEED_PERCENT) {
            return CommandOutcome.refused(ErrorCode.INVALID_ARGUMENT, "throttle must be from 1 to 100 percent");
        }
        if (command.throttlePercent() > task.committedPercent) {
            long more = Task.scaled(task.powerMilliwatts, command.throttlePercent()) - task.committedMilliwatts();
            if (tables.book.committedMilliwatts() + more > capMilliwatts) {
                return Tables.stale("the power cap leaves no room to speed up job \"" + command.jobId() + "\"");
            }
            tables.book.setCommittedPercent(task, worker, command.throttlePercent());
        }
        task.throttlePercent = command.throttlePercent();
        task.throttleVersion++;
        task.throttledMillis = command.timeMillis();
        task.explain(
                command.timeMillis(),
                "speed " + command.throttlePercent() + "% asked for",
                command.rule(),
                command.figures());
        tables.book.touch(task);
        tables.book.touch(worker);
        return CommandOutcome.accepted();
    }

    CommandOutcome confirmThrottle(TaskCommand.ConfirmThrottle command) {
        Task task = tables.tasks.get(command.jobId());
        Worker worker = task == null ? null : task.worker;
        if (task == null
                || worker == null
                || task.epoch != command.epoch()
                || task.throttleVersion != command.throttleVersion()) {
            return Tables.staleEpoch(command.jobId(), command.epoch());
        }
        if (task.throttlePercent < task.committedPercent) {
            tables.book.setCommittedPercent(task, worker, task.throttlePercent);
            task.throttledMillis = command.timeMillis();
        }
        return CommandOutcome.accepted();
    }

    CommandOutcome evict(TaskCommand.Evict command) {
        Task task = tables.tasks.get(command.jobId());
        if (task == null || !task.phase.isPlaced() || task.epoch != command.epoch()) {
            return Tables.staleEpoch(command.jobId(), command.epoch());
        }
        if (task.phase == TaskPhase.CANCELLING || task.phase == TaskPhase.CHECKPOINTING) {
            return CommandOutcome.accepted();
        }
        task.enter(TaskPhase.CHECKPOINTING, command.timeMillis());
        task.graceMillis = command.graceMillis();
        task.explain(command.timeMillis(), "to be evicted", command.rule(), command.figures());
        tables.book.touch(task);
        return CommandOutcome.accepted();
    }

    CommandOutcome resize(TaskCommand.Resize command, long capMilliwatts) {
        Task task = tables.tasks.get(command.jobId());
        Worker worker = task == null ? null : task.worker;
        if (task == null || worker == null || task.epoch != command.epoch()) {
            return Tables.staleEpoch(command.jobId(), command.epoch());
        }
        Resources committed = worker.committed.minus(task.commitment).plus(command.commitment());
        if (!committed.fitsIn(worker.capacity.max(worker.committed))) {
            return Tables.stale(
                    "worker \"" + worker.id() + "\" has no room for job \"" + command.jobId() + "\" to grow");
        }
        long more = Task.scaled(command.powerMilliwatts(), task.committedPercent()) - task.committedMilliwatts();
        if (more > 0 && tables.book.committedMilliwatts() + more > capMilliwatts) {
            return Tables.stale("the power cap leaves no room for job \"" + command.jobId() + "\" to draw more");
        }
        tables.book.resize(task, worker, command.commitment(), command.powerMilliwatts());
        task.explain(command.timeMillis(), "commitment corrected", command.rule(), command.figures());
        return CommandOutcome.accepted();
    }
}
