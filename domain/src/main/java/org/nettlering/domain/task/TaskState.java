package org.nettlering.domain.task;

import java.util.Collection;
import java.util.Collections;
import java.util.Optional;
import java.util.Set;

/**
 * The replicated state of all jobs and workers.
 *
 * <p>Applying is deterministic. Whatever is asked for, these hold after every command: the commitments on a worker fit
 * its capacity (unless the worker itself came back smaller), a task is committed to at most one worker, a commitment ends
 * only with a proof for its epoch, and no start or higher speed lifts the committed draw above the cap
 * in force at that position of the log. Not thread-safe: callers apply and read under one lock.
 */
public final class TaskState {
    /** Jobs, workers and sums. */
    private final StateTables tables = new StateTables();

    /** Applies submissions and cancellations. */
    private final SubmissionHandler submissionHandler = new SubmissionHandler(tables);

    /** Applies the planner's decisions. */
    private final PlacementHandler placementHandler = new PlacementHandler(tables);

    /** Applies what reports and ended leases prove. */
    private final WorkerSessionHandler workerSessionHandler = new WorkerSessionHandler(tables);

    /**
     * Returns a state without jobs and workers.
     *
     * @return a new state, never null
     */
    public static TaskState empty() {
        return new TaskState();
    }

    /**
     * Returns the state that an image was taken of.
     *
     * @param snapshot the image, not null
     * @return a new state, never null
     */
    public static TaskState fromSnapshot(StoredTaskState snapshot) {
        TaskState state = new TaskState();
        for (StoredWorker worker : snapshot.workers()) {
            Worker restored = Worker.fromSnapshot(worker);
            state.tables.workers.put(restored.id(), restored);
            state.tables.allocations.setIdlePower(restored, worker.idleMilliwatts());
        }
        for (StoredTask task : snapshot.tasks()) {
            Task restored = Task.fromSnapshot(task);
            state.tables.tasks.put(task.job().jobId(), restored);
            Worker worker = state.tables.workers.get(task.workerId());
            if (worker != null) {
                state.tables.allocations.allocate(restored, worker);
            }
            state.tables.allocations.markChanged(restored);
        }
        state.tables.finishedJobs.restore(snapshot.finishedJobIds(), snapshot.idOnlyJobIds());
        state.tables.allocations.restorePeak(snapshot.peakMilliwatts());
        return state;
    }

    private TaskState() {}

    /**
     * Captures the state.
     *
     * @return an image that no longer changes, never null
     */
    public StoredTaskState snapshot() {
        return new StoredTaskState(
                tables.tasks.values().stream().map(Task::snapshot).toList(),
                tables.workers.values().stream().map(Worker::snapshot).toList(),
                tables.finishedJobs.detailedJobIds(),
                tables.finishedJobs.idOnlyJobIds(),
                tables.allocations.peakMilliwatts());
    }

    /**
     * Returns a job.
     *
     * @param jobId the job's id, not null
     * @return the job, or empty if it is unknown or no longer kept, never null
     */
    public Optional<Task> task(String jobId) {
        return Optional.ofNullable(tables.tasks.get(jobId));
    }

    /**
     * Returns all jobs that are kept, in the order of submission.
     *
     * @return a view, never null
     */
    public Collection<Task> tasks() {
        return Collections.unmodifiableCollection(tables.tasks.values());
    }

    /**
     * Returns a worker.
     *
     * @param workerId the worker's id, not null
     * @return the worker, or empty if it never registered, never null
     */
    public Optional<Worker> worker(String workerId) {
        return Optional.ofNullable(tables.workers.get(workerId));
    }

    /**
     * Returns all workers, lost ones included.
     *
     * @return a view, never null
     */
    public Collection<Worker> workers() {
        return Collections.unmodifiableCollection(tables.workers.values());
    }

    /**
     * Returns the committed draw: idle draws of all workers, and the worst case of every placed task.
     *
     * @return milliwatts
     */
    public long allocatedMilliwatts() {
        return tables.allocations.allocatedMilliwatts();
    }

    /**
     * Returns the idle draw of all workers, lost ones included, because a host that is silent may still draw.
     *
     * @return milliwatts
     */
    public long idleMilliwatts() {
        return tables.allocations.idleMilliwatts();
    }

    /**
     * Returns the largest committed draw so far.
     *
     * @return milliwatts
     */
    public long peakMilliwatts() {
        return tables.allocations.peakMilliwatts();
    }

    /**
     * Returns and forgets the workers that changed since the last call.
     *
     * @return the workers, never null
     */
    public Set<Worker> drainChangedWorkers() {
        return tables.allocations.drainChangedWorkers();
    }

    /**
     * Returns and forgets the tasks that changed since the last call.
     *
     * @return the tasks, never null
     */
    public Set<Task> drainChangedTasks() {
        return tables.allocations.drainChangedTasks();
    }

    /**
     * Applies a command.
     *
     * @param command the command, not null
     * @param capMilliwatts the cap on the committed draw at this position of the log
     * @return whether it took effect, never null
     */
    public TaskCommandResult apply(TaskCommand command, long capMilliwatts) {
        return switch (command) {
            case TaskCommand.Submit submit -> submissionHandler.submit(submit);
            case TaskCommand.Cancel cancel -> submissionHandler.cancel(cancel);
            case TaskCommand.RegisterWorker register -> workerSessionHandler.register(register);
            case TaskCommand.Start start -> placementHandler.start(start, capMilliwatts);
            case TaskCommand.RecordProgress progress -> workerSessionHandler.recordProgress(progress);
            case TaskCommand.RecordTermination termination -> workerSessionHandler.recordTermination(termination);
            case TaskCommand.MarkWorkerLost workerLost -> workerSessionHandler.markWorkerLost(workerLost);
            case TaskCommand.Throttle throttle -> placementHandler.throttle(throttle, capMilliwatts);
            case TaskCommand.ConfirmThrottle confirmation -> placementHandler.confirmThrottle(confirmation);
            case TaskCommand.Evict evict -> placementHandler.evict(evict);
            case TaskCommand.Resize resize -> placementHandler.resize(resize, capMilliwatts);
            case TaskCommand.Quarantine quarantine -> workerSessionHandler.quarantine(quarantine);
            case TaskCommand.MarkUnrunnable markUnrunnable -> submissionHandler.markUnrunnable(markUnrunnable);
            case TaskCommand.MarkRunnable markRunnable -> submissionHandler.markRunnable(markRunnable);
            case TaskCommand.Batch batch -> applyBatch(batch, capMilliwatts);
        };
    }

    private TaskCommandResult applyBatch(TaskCommand.Batch batch, long capMilliwatts) {
        int rejections = 0;
        String firstMessage = "";
        for (TaskCommand command : batch.commands()) {
            TaskCommandResult result = apply(command, capMilliwatts);
            if (!result.isAccepted()) {
                firstMessage = rejections == 0 ? result.message() : firstMessage;
                rejections++;
            }
        }
        return rejections == 0
                ? TaskCommandResult.accepted()
                : StateTables.rejectStale(
                        rejections + " of " + batch.commands().size() + " refused, first: " + firstMessage);
    }
}
