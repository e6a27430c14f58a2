package org.nettlering.domain.task;

import java.util.Collection;
import java.util.Collections;
import java.util.Optional;
import java.util.Set;

/**
 * The replicated state of all jobs and workers.
 *
 * <p>Applying commands is deterministic. The following invariants hold after every command:
 *
 * <ul>
 *   <li>The allocations on a worker fit its capacity, unless the worker registered again with less capacity.
 *   <li>A task is placed on at most one worker.
 *   <li>An allocation is released only with evidence that its epoch has terminated.
 *   <li>No start, resize or speed increase raises the allocated power above the cap in force at that position of the log.
 * </ul>
 *
 * <p>Not thread-safe: callers must apply commands and read under one lock.
 */
public final class TaskState {
    private final StateTables tables = new StateTables();

    private final SubmissionHandler submissionHandler = new SubmissionHandler(tables);

    private final PlacementHandler placementHandler = new PlacementHandler(tables);

    private final WorkerSessionHandler workerSessionHandler = new WorkerSessionHandler(tables);

    /**
     * Returns an empty state.
     *
     * @return a new state, never null
     */
    public static TaskState empty() {
        return new TaskState();
    }

    /**
     * Restores the state from a snapshot.
     *
     * @param snapshot the snapshot, not null
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
     * Returns a snapshot of the state.
     *
     * @return an immutable snapshot, never null
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
     * @param jobId the id of the job, not null
     * @return the job, or empty if it is unknown or no longer retained, never null
     */
    public Optional<Task> task(String jobId) {
        return Optional.ofNullable(tables.tasks.get(jobId));
    }

    /**
     * Returns all retained jobs in the order of submission.
     *
     * @return an unmodifiable view, never null
     */
    public Collection<Task> tasks() {
        return Collections.unmodifiableCollection(tables.tasks.values());
    }

    /**
     * Returns a worker.
     *
     * @param workerId the id of the worker, not null
     * @return the worker, or empty if it never registered, never null
     */
    public Optional<Worker> worker(String workerId) {
        return Optional.ofNullable(tables.workers.get(workerId));
    }

    /**
     * Returns all workers, including lost ones.
     *
     * @return an unmodifiable view, never null
     */
    public Collection<Worker> workers() {
        return Collections.unmodifiableCollection(tables.workers.values());
    }

    /**
     * Returns the allocated power: the idle power of all workers plus the maximum power of all placed tasks.
     *
     * @return milliwatts
     */
    public long allocatedMilliwatts() {
        return tables.allocations.allocatedMilliwatts();
    }

    /**
     * Returns the idle power of all workers, including lost ones, as an unresponsive host may still draw power.
     *
     * @return milliwatts
     */
    public long idleMilliwatts() {
        return tables.allocations.idleMilliwatts();
    }

    /**
     * Returns the highest allocated power so far.
     *
     * @return milliwatts
     */
    public long peakMilliwatts() {
        return tables.allocations.peakMilliwatts();
    }

    /**
     * Returns the workers that changed since the last call, and clears the set of changed workers.
     *
     * @return the workers, never null
     */
    public Set<Worker> drainChangedWorkers() {
        return tables.allocations.drainChangedWorkers();
    }

    /**
     * Returns the tasks that changed since the last call, and clears the set of changed tasks.
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
     * @param capMilliwatts the cap on the allocated power at this position of the log, in milliwatts
     * @return whether the command was accepted, never null
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
                : StateTables.rejectStale(rejections + " of " + batch.commands().size()
                        + " commands rejected; first rejection: " + firstMessage);
    }
}
