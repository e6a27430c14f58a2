package org.nettlering.domain.task;

import org.nettlering.domain.error.ErrorCode;

/** Applies the commands of the planner: start, throttle, evict and resize. Not thread-safe. */
final class PlacementHandler {
    private final StateTables tables;

    PlacementHandler(StateTables tables) {
        this.tables = tables;
    }

    TaskCommandResult start(TaskCommand.Start command, long capMilliwatts) {
        Task task = tables.tasks.get(command.jobId());
        Worker worker = tables.workers.get(command.workerId());
        if (task == null || !task.phase.isSchedulable()) {
            return StateTables.rejectStale("job \"" + command.jobId() + "\" is not awaiting placement");
        }
        if (worker == null || !worker.live || worker.quarantinedUntilMillis > command.timeMillis()) {
            return StateTables.rejectStale("worker \"" + command.workerId() + "\" is unknown, lost or quarantined");
        }
        if (!command.allocation().fitsIn(worker.free())) {
            return StateTables.rejectStale("worker \"" + worker.id() + "\" has only " + worker.free() + " free");
        }
        long milliwatts = Task.powerAtSpeed(command.powerMilliwatts(), command.speedPercent());
        if (tables.allocations.allocatedMilliwatts() + milliwatts > capMilliwatts) {
            return StateTables.rejectStale("starting job \"" + command.jobId() + "\" would exceed the power cap");
        }
        task.epoch++;
        task.allocation = command.allocation();
        task.powerMilliwatts = command.powerMilliwatts();
        task.allocatedSpeedPercent = command.speedPercent();
        task.requestedSpeedPercent = command.speedPercent();
        task.throttleVersion++;
        task.speedChangedMillis = command.timeMillis();
        task.startedMillis = command.timeMillis();
        task.resumeCheckpoint = task.checkpoint;
        task.enterPhase(task.epoch == 1 ? TaskPhase.STARTING : TaskPhase.RESUMING, command.timeMillis());
        tables.allocations.allocate(task, worker);
        task.recordDecision(
                command.timeMillis(),
                "start on " + worker.id() + ", epoch " + task.epoch + ", checkpoint " + task.checkpoint,
                command.rule(),
                command.details());
        return TaskCommandResult.accepted();
    }

    TaskCommandResult throttle(TaskCommand.Throttle command, long capMilliwatts) {
        Task task = tables.tasks.get(command.jobId());
        Worker worker = task == null ? null : task.worker;
        if (task == null || worker == null || task.epoch != command.epoch()) {
            return StateTables.rejectStaleEpoch(command.jobId(), command.epoch());
        }
        if (command.speedPercent() < 1 || command.speedPercent() > Task.FULL_SPEED_PERCENT) {
            return TaskCommandResult.rejected(
                    ErrorCode.INVALID_ARGUMENT, "throttle percentage must be between 1 and 100");
        }
        if (command.speedPercent() > task.allocatedSpeedPercent) {
            long additionalMilliwatts =
                    Task.powerAtSpeed(task.powerMilliwatts, command.speedPercent()) - task.allocatedMilliwatts();
            if (tables.allocations.allocatedMilliwatts() + additionalMilliwatts > capMilliwatts) {
                return StateTables.rejectStale(
                        "raising the speed of job \"" + command.jobId() + "\" would exceed the power cap");
            }
            tables.allocations.setAllocatedSpeedPercent(task, worker, command.speedPercent());
        }
        task.requestedSpeedPercent = command.speedPercent();
        task.throttleVersion++;
        task.speedChangedMillis = command.timeMillis();
        task.recordDecision(
                command.timeMillis(),
                "speed " + command.speedPercent() + "% asked for",
                command.rule(),
                command.details());
        tables.allocations.markChanged(task);
        tables.allocations.markChanged(worker);
        return TaskCommandResult.accepted();
    }

    TaskCommandResult confirmThrottle(TaskCommand.ConfirmThrottle command) {
        Task task = tables.tasks.get(command.jobId());
        Worker worker = task == null ? null : task.worker;
        if (task == null
                || worker == null
                || task.epoch != command.epoch()
                || task.throttleVersion != command.throttleVersion()) {
            return StateTables.rejectStaleEpoch(command.jobId(), command.epoch());
        }
        if (task.requestedSpeedPercent < task.allocatedSpeedPercent) {
            tables.allocations.setAllocatedSpeedPercent(task, worker, task.requestedSpeedPercent);
            task.speedChangedMillis = command.timeMillis();
        }
        return TaskCommandResult.accepted();
    }

    TaskCommandResult evict(TaskCommand.Evict command) {
        Task task = tables.tasks.get(command.jobId());
        if (task == null || !task.phase.isPlaced() || task.epoch != command.epoch()) {
            return StateTables.rejectStaleEpoch(command.jobId(), command.epoch());
        }
        if (task.phase == TaskPhase.CANCELLING || task.phase == TaskPhase.CHECKPOINTING) {
            return TaskCommandResult.accepted();
        }
        task.enterPhase(TaskPhase.CHECKPOINTING, command.timeMillis());
        task.graceMillis = command.graceMillis();
        task.recordDecision(command.timeMillis(), "to be evicted", command.rule(), command.details());
        tables.allocations.markChanged(task);
        return TaskCommandResult.accepted();
    }

    TaskCommandResult resize(TaskCommand.Resize command, long capMilliwatts) {
        Task task = tables.tasks.get(command.jobId());
        Worker worker = task == null ? null : task.worker;
        if (task == null || worker == null || task.epoch != command.epoch()) {
            return StateTables.rejectStaleEpoch(command.jobId(), command.epoch());
        }
        Resources allocated = worker.allocated.minus(task.allocation).plus(command.allocation());
        if (!allocated.fitsIn(worker.capacity.max(worker.allocated))) {
            return StateTables.rejectStale("worker \"" + worker.id()
                    + "\" has insufficient free capacity to resize job \"" + command.jobId() + "\"");
        }
        long additionalMilliwatts =
                Task.powerAtSpeed(command.powerMilliwatts(), task.allocatedSpeedPercent()) - task.allocatedMilliwatts();
        if (additionalMilliwatts > 0
                && tables.allocations.allocatedMilliwatts() + additionalMilliwatts > capMilliwatts) {
            return StateTables.rejectStale(
                    "raising the power of job \"" + command.jobId() + "\" would exceed the power cap");
        }
        tables.allocations.resize(task, worker, command.allocation(), command.powerMilliwatts());
        task.recordDecision(command.timeMillis(), "commitment corrected", command.rule(), command.details());
        return TaskCommandResult.accepted();
    }
}
