package org.nettlering.domain.task;

import org.nettlering.domain.error.ErrorCode;

/** Applies what submitters and operators ask of a job. Not thread-safe. */
final class Submissions {
    /** What is changed. */
    private final Tables tables;

    Submissions(Tables tables) {
        this.tables = tables;
    }

    CommandOutcome submit(TaskCommand.Submit command) {
        JobSpecification job = command.job();
        if (job.jobId().isEmpty() || command.operationId().isEmpty()) {
            return CommandOutcome.refused(ErrorCode.INVALID_ARGUMENT, "job id and operation id must not be empty");
        }
        Task known = tables.tasks.get(job.jobId());
        if (known != null) {
            return known.operationId().equals(command.operationId())
                            && known.job().equals(job)
                    ? CommandOutcome.accepted()
                    : CommandOutcome.refused(
                            ErrorCode.OPERATION_REUSED, "job \"" + job.jobId() + "\" was submitted before");
        }
        if (tables.finished.isForgotten(job.jobId())) {
            return CommandOutcome.refused(
                    ErrorCode.OPERATION_REUSED, "job \"" + job.jobId() + "\" was submitted before and has ended");
        }
        Task task = new Task(job, command.operationId(), command.timeMillis());
        task.explain(command.timeMillis(), "submitted", "submission", "declared " + job.declared());
        tables.tasks.put(job.jobId(), task);
        tables.book.touch(task);
        return CommandOutcome.accepted();
    }

    CommandOutcome cancel(TaskCommand.Cancel command) {
        Task task = tables.tasks.get(command.jobId());
        if (task == null) {
            return CommandOutcome.refused(
                    ErrorCode.NOT_FOUND, "job \"" + command.jobId() + "\" is not known or ended long ago");
        }
        if (task.phase.isFinal() || task.phase == TaskPhase.CANCELLING) {
            return CommandOutcome.accepted();
        }
        if (task.phase.isPlaced()) {
            task.enter(TaskPhase.CANCELLING, command.timeMillis());
            task.explain(command.timeMillis(), "to stop", "cancellation", "operation " + command.operationId());
            tables.book.touch(task);
            return CommandOutcome.accepted();
        }
        tables.finish(
                task, TaskPhase.CANCELLED, command.timeMillis(), "cancellation", "operation " + command.operationId());
        return CommandOutcome.accepted();
    }

    CommandOutcome markUnrunnable(TaskCommand.MarkUnrunnable command) {
        Task task = tables.tasks.get(command.jobId());
        if (task == null || !task.phase.isWaiting()) {
            return Tables.stale("job \"" + command.jobId() + "\" does not wait for a start");
        }
        task.enter(TaskPhase.UNRUNNABLE, command.timeMillis());
        task.explain(
                command.timeMillis(),
                "unrunnable",
                command.reason(),
                "declared " + task.job().declared());
        tables.book.touch(task);
        return CommandOutcome.accepted();
    }

    CommandOutcome revive(TaskCommand.Revive command) {
        Task task = tables.tasks.get(command.jobId());
        if (task == null || task.phase != TaskPhase.UNRUNNABLE) {
            return Tables.stale("job \"" + command.jobId() + "\" is not unrunnable");
        }
        task.enter(task.epoch == 0 ? TaskPhase.PENDING : TaskPhase.EVICTED, command.timeMillis());
        task.explain(command.timeMillis(), "waits again", command.reason(), "");
        tables.book.touch(task);
        return CommandOutcome.accepted();
    }
}
