package org.nettlering.control.task;

import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TerminationReason;
import org.nettlering.runtime.log.EventLogger;

/** Writes what happens to jobs and workers to the log. Thread-safe. */
public final class TaskEvents implements TaskListener {
    /** Where the events go. */
    private final EventLogger logger = EventLogger.of(TaskEvents.class);

    /**
     * Creates a listener that logs.
     *
     * @return the listener, never null
     */
    public static TaskEvents logging() {
        return new TaskEvents();
    }

    private TaskEvents() {}

    @Override
    public void committed(TaskCommand command) {
        switch (command) {
            case TaskCommand.RegisterWorker register ->
                logger.log(TaskEvent.WORKER_REGISTERED, register.workerId(), register.incarnation());
            case TaskCommand.MarkWorkerLost lost -> logger.log(TaskEvent.WORKER_LOST, lost.workerId());
            case TaskCommand.Quarantine quarantine ->
                logger.log(TaskEvent.WORKER_QUARANTINED, quarantine.workerId(), quarantine.details());
            case TaskCommand.MarkUnrunnable unrunnable ->
                logger.log(TaskEvent.JOB_UNRUNNABLE, unrunnable.jobId(), unrunnable.reason());
            case TaskCommand.Evict evict -> logger.log(TaskEvent.TASK_EVICTED, evict.jobId(), evict.rule());
            case TaskCommand.RecordTermination end
            when end.reason() == TerminationReason.FAILED ->
                logger.log(TaskEvent.TASK_FAILED, end.jobId(), end.epoch(), end.detail());
            default -> {
                // What follows the ordinary course is explained by the job itself.
            }
        }
    }

    @Override
    public void proposalFailed(Throwable cause) {
        logger.log(TaskEvent.PROPOSAL_FAILED, String.valueOf(cause.getMessage()));
    }
}
