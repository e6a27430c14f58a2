package org.nettlering.domain.task;

import org.nettlering.domain.error.ErrorCode;

/** Applies submissions, cancellations and changes of whether a job is runnable. Not thread-safe. */
final class SubmissionHandler {
    private final StateTables tables;

    SubmissionHandler(StateTables tables) {
        this.tables = tables;
    }

    TaskCommandResult submit(TaskCommand.Submit command) {
        JobSpecification job = command.job();
        if (job.jobId().isEmpty() || command.operationId().isEmpty()) {
            return TaskCommandResult.rejected(ErrorCode.INVALID_ARGUMENT, "job id and operation id must not be empty");
        }
        Task existing = tables.tasks.get(job.jobId());
        if (existing != null) {
            return existing.operationId().equals(command.operationId())
                            && existing.job().equals(job)
                    ? TaskCommandResult.accepted()
                    : TaskCommandResult.rejected(
                            ErrorCode.OPERATION_REUSED,
                            "job \"" + job.jobId()
                                    + "\" was already submitted with another operation id or specification");
        }
        if (tables.finishedJobs.isIdOnly(job.jobId())) {
            return TaskCommandResult.rejected(
                    ErrorCode.OPERATION_REUSED, "job \"" + job.jobId() + "\" was already submitted and has finished");
        }
        Task task = new Task(job, command.operationId(), command.timeMillis());
        task.recordDecision(command.timeMillis(), "submitted", "submission", "declared " + job.declaredResources());
        tables.tasks.put(job.jobId(), task);
        tables.allocations.markChanged(task);
        return TaskCommandResult.accepted();
    }

    TaskCommandResult cancel(TaskCommand.Cancel command) {
        Task task = tables.tasks.get(command.jobId());
        if (task == null) {
            return TaskCommandResult.rejected(
                    ErrorCode.NOT_FOUND, "job \"" + command.jobId() + "\" is not known or ended long ago");
        }
        if (task.phase.isTerminal() || task.phase == TaskPhase.CANCELLING) {
            return TaskCommandResult.accepted();
        }
        if (task.phase.isPlaced()) {
            task.enterPhase(TaskPhase.CANCELLING, command.timeMillis());
            task.recordDecision(command.timeMillis(), "to stop", "cancellation", "operation " + command.operationId());
            tables.allocations.markChanged(task);
            return TaskCommandResult.accepted();
        }
        tables.finish(
                task, TaskPhase.CANCELLED, command.timeMillis(), "cancellation", "operation " + command.operationId());
        return TaskCommandResult.accepted();
    }

    TaskCommandResult markUnrunnable(TaskCommand.MarkUnrunnable command) {
        Task task = tables.tasks.get(command.jobId());
        if (task == null || !task.phase.isSchedulable()) {
            return StateTables.rejectStale("job \"" + command.jobId() + "\" is not awaiting placement");
        }
        task.enterPhase(TaskPhase.UNRUNNABLE, command.timeMillis());
        task.recordDecision(
                command.timeMillis(),
                "unrunnable",
                command.reason(),
                "declared " + task.job().declaredResources());
        tables.allocations.markChanged(task);
        return TaskCommandResult.accepted();
    }

    TaskCommandResult markRunnable(TaskCommand.MarkRunnable command) {
        Task task = tables.tasks.get(command.jobId());
        if (task == null || task.phase != TaskPhase.UNRUNNABLE) {
            return StateTables.rejectStale("job \"" + command.jobId() + "\" is not unrunnable");
        }
        task.enterPhase(task.epoch == 0 ? TaskPhase.PENDING : TaskPhase.EVICTED, command.timeMillis());
        task.recordDecision(command.timeMillis(), "waits again", command.reason(), "");
        tables.allocations.markChanged(task);
        return TaskCommandResult.accepted();
    }
}
