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
    private final Tables tables = new Tables();

    /** Applies submissions and cancellations. */
    private final Submissions submissions = new Submissions(tables);

    /** Applies the planner's decisions. */
    private final Placements placements = new Placements(tables);

    /** Applies what reports and ended leases prove. */
    private final Sessions sessions = new Sessions(tables);

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
     * @param image the image, not null
     * @return a new state, never null
     */
    public static TaskState from(TaskStateImage image) {
        TaskState state = new TaskState();
        for (WorkerImage worker : image.workers()) {
            Worker restored = Worker.from(worker);
            state.tables.workers.put(restored.id(), restored);
            state.tables.book.setIdle(restored, worker.idleMilliwatts());
        }
        for (TaskImage task : image.tasks()) {
            Task restored = Task.from(task);
            state.tables.tasks.put(task.job().jobId(), restored);
            Worker worker = state.tables.workers.get(task.workerId());
            if (worker != null) {
                state.tables.book.commit(restored, worker);
            }
            state.tables.book.touch(restored);
        }
        state.tables.finished.restore(image.finishedJobIds(), image.forgottenJobIds());
        state.tables.book.restorePeak(image.peakMilliwatts());
        return state;
    }

    private TaskState() {}

    /**
     * Captures the state.
     *
     * @return an image that no longer changes, never null
     */
    public TaskStateImage image() {
        return new TaskStateImage(
                tables.tasks.values().stream().map(Task::image).toList(),
                tables.workers.values().stream().map(Worker::image).toList(),
                tables.finished.detailed(),
                tables.finished.forgotten(),
                tables.book.peakMilliwatts());
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
    public long committedMilliwatts() {
        return tables.book.committedMilliwatts();
    }

    /**
     * Returns the idle draw of all workers, lost ones included, because a host that is silent may still draw.
     *
     * @return milliwatts
     */
    public long idleMilliwatts() {
        return tables.book.idleMilliwatts();
    }

    /**
     * Returns the largest committed draw so far.
     *
     * @return milliwatts
     */
    public long peakMilliwatts() {
        return tables.book.peakMilliwatts();
    }

    /**
     * Returns and forgets the workers that changed since the last call.
     *
     * @return the workers, never null
     */
    public Set<Worker> drainChangedWorkers() {
        return tables.book.drainChangedWorkers();
    }

    /**
     * Returns and forgets the tasks that changed since the last call.
     *
     * @return the tasks, never null
     */
    public Set<Task> drainChangedTasks() {
        return tables.book.drainChangedTasks();
    }

    /**
     * Applies a command.
     *
     * @param command the command, not null
     * @param capMilliwatts the cap on the committed draw at this position of the log
     * @return whether it took effect, never null
     */
    public CommandOutcome apply(TaskCommand command, long capMilliwatts) {
        return switch (command) {
            case TaskCommand.Submit submit -> submissions.submit(submit);
            case TaskCommand.Cancel cancel -> submissions.cancel(cancel);
            case TaskCommand.RegisterWorker register -> sessions.register(register);
            case TaskCommand.Start start -> placements.start(start, capMilliwatts);
            case TaskCommand.RecordProgress progress -> sessions.recordProgress(progress);
            case TaskCommand.RecordEnd end -> sessions.recordEnd(end);
            case TaskCommand.LoseWorker lost -> sessions.loseWorker(lost);
            case TaskCommand.Throttle throttle -> placements.throttle(throttle, capMilliwatts);
            case TaskCommand.ConfirmThrottle confirmed -> placements.confirmThrottle(confirmed);
            case TaskCommand.Evict evict -> placements.evict(evict);
            case TaskCommand.Resize resize -> placements.resize(resize, capMilliwatts);
            case TaskCommand.Quarantine quarantine -> sessions.quarantine(quarantine);
            case TaskCommand.MarkUnrunnable unrunnable -> submissions.markUnrunnable(unrunnable);
            case TaskCommand.Revive revive -> submissions.revive(revive);
            case TaskCommand.Batch batch -> applyAll(batch, capMilliwatts);
        };
    }

    private CommandOutcome applyAll(TaskCommand.Batch batch, long capMilliwatts) {
        int refusals = 0;
        String first = "";
        for (TaskCommand command : batch.commands()) {
            CommandOutcome outcome = apply(command, capMilliwatts);
            if (!outcome.isAccepted()) {
                first = refusals == 0 ? outcome.message() : first;
                refusals++;
            }
        }
        return refusals == 0
                ? CommandOutcome.accepted()
                : Tables.stale(refusals + " of " + batch.commands().size() + " refused, first: " + first);
    }
}
