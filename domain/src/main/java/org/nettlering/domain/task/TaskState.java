package org.nettlering.domain.task;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.nettlering.domain.error.ErrorCode;

/**
 * The replicated state of all jobs and workers.
 *
 * <p>Applying is deterministic. Whatever is asked for, these hold after every command: the commitments on a worker fit
 * its capacity (unless the worker itself came back smaller), a task is committed to at most one worker, a commitment ends
 * only with a proof for its epoch, and no start or higher speed lifts the committed draw above the cap that the command
 * names. Not thread-safe: callers apply and read under one lock.
 */
public final class TaskState {
    /** Distinct workers on which a job fails before the job is at fault. */
    private static final int FAILURES_TO_GIVE_UP = 3;

    /** Jobs by id, in the order of submission. */
    private final Map<String, Task> tasks = new LinkedHashMap<>();

    /** Workers by id. */
    private final Map<String, Worker> workers = new LinkedHashMap<>();

    /** What is kept of jobs that ended. */
    private final FinishedJobs finished = new FinishedJobs();

    /** The sums of what is committed. */
    private final CommitmentBook book = new CommitmentBook();

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
            state.workers.put(restored.id(), restored);
            state.book.setIdle(restored, worker.idleMilliwatts());
        }
        for (TaskImage task : image.tasks()) {
            Task restored = Task.from(task);
            state.tasks.put(task.job().jobId(), restored);
            Worker worker = state.workers.get(task.workerId());
            if (worker != null) {
                state.book.commit(restored, worker);
            }
            state.book.touch(restored);
        }
        state.finished.restore(image.finishedJobIds(), image.forgottenJobIds());
        state.book.restorePeak(image.peakMilliwatts());
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
                tasks.values().stream().map(Task::image).toList(),
                workers.values().stream().map(Worker::image).toList(),
                finished.detailed(),
                finished.forgotten(),
                book.peakMilliwatts());
    }

    /**
     * Returns a job.
     *
     * @param jobId the job's id, not null
     * @return the job, or empty if it is unknown or no longer kept, never null
     */
    public Optional<Task> task(String jobId) {
        return Optional.ofNullable(tasks.get(jobId));
    }

    /**
     * Returns all jobs that are kept, in the order of submission.
     *
     * @return a view, never null
     */
    public Collection<Task> tasks() {
        return Collections.unmodifiableCollection(tasks.values());
    }

    /**
     * Returns a worker.
     *
     * @param workerId the worker's id, not null
     * @return the worker, or empty if it never registered, never null
     */
    public Optional<Worker> worker(String workerId) {
        return Optional.ofNullable(workers.get(workerId));
    }

    /**
     * Returns all workers, lost ones included.
     *
     * @return a view, never null
     */
    public Collection<Worker> workers() {
        return Collections.unmodifiableCollection(workers.values());
    }

    /**
     * Returns the committed draw: idle draws of all workers, and the worst case of every placed task.
     *
     * @return milliwatts
     */
    public long committedMilliwatts() {
        return book.committedMilliwatts();
    }

    /**
     * Returns the largest committed draw so far.
     *
     * @return milliwatts
     */
    public long peakMilliwatts() {
        return book.peakMilliwatts();
    }

    /**
     * Returns and forgets the workers that changed since the last call.
     *
     * @return the workers, never null
     */
    public Set<Worker> drainChangedWorkers() {
        return book.drainChangedWorkers();
    }

    /**
     * Returns and forgets the tasks that changed since the last call.
     *
     * @return the tasks, never null
     */
    public Set<Task> drainChangedTasks() {
        return book.drainChangedTasks();
    }

    /**
     * Applies a command.
     *
     * @param command the command, not null
     * @return whether it took effect, never null
     */
    public CommandOutcome apply(TaskCommand command) {
        return switch (command) {
            case TaskCommand.Submit submit -> submit(submit);
            case TaskCommand.Cancel cancel -> cancel(cancel);
            case TaskCommand.RegisterWorker register -> register(register);
            case TaskCommand.Start start -> start(start);
            case TaskCommand.RecordProgress progress -> recordProgress(progress);
            case TaskCommand.RecordEnd end -> recordEnd(end);
            case TaskCommand.LoseWorker lost -> loseWorker(lost);
            case TaskCommand.Throttle throttle -> throttle(throttle);
            case TaskCommand.ConfirmThrottle confirmed -> confirmThrottle(confirmed);
            case TaskCommand.Evict evict -> evict(evict);
            case TaskCommand.Resize resize -> resize(resize);
            case TaskCommand.Quarantine quarantine -> quarantine(quarantine);
            case TaskCommand.MarkUnrunnable unrunnable -> markUnrunnable(unrunnable);
            case TaskCommand.Revive revive -> revive(revive);
            case TaskCommand.Batch batch -> applyAll(batch);
        };
    }

    private CommandOutcome applyAll(TaskCommand.Batch batch) {
        int refusals = 0;
        String first = "";
        for (TaskCommand command : batch.commands()) {
            CommandOutcome outcome = apply(command);
            if (!outcome.isAccepted()) {
                first = refusals == 0 ? outcome.message() : first;
                refusals++;
            }
        }
        return refusals == 0
                ? CommandOutcome.accepted()
                : stale(refusals + " of " + batch.commands().size() + " refused, first: " + first);
    }

    private CommandOutcome submit(TaskCommand.Submit command) {
        JobSpecification job = command.job();
        if (job.jobId().isEmpty() || command.operationId().isEmpty()) {
            return CommandOutcome.refused(ErrorCode.INVALID_ARGUMENT, "job id and operation id must not be empty");
        }
        Task known = tasks.get(job.jobId());
        if (known != null) {
            return known.operationId().equals(command.operationId())
                            && known.job().equals(job)
                    ? CommandOutcome.accepted()
                    : CommandOutcome.refused(
                            ErrorCode.OPERATION_REUSED, "job \"" + job.jobId() + "\" was submitted before");
        }
        if (finished.isForgotten(job.jobId())) {
            return CommandOutcome.refused(
                    ErrorCode.OPERATION_REUSED, "job \"" + job.jobId() + "\" was submitted before and has ended");
        }
        Task task = new Task(job, command.operationId(), command.timeMillis());
        task.explain(command.timeMillis(), "submitted", "submission", "declared " + job.declared());
        tasks.put(job.jobId(), task);
        book.touch(task);
        return CommandOutcome.accepted();
    }

    private CommandOutcome cancel(TaskCommand.Cancel command) {
        Task task = tasks.get(command.jobId());
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
            book.touch(task);
            return CommandOutcome.accepted();
        }
        finish(task, TaskPhase.CANCELLED, command.timeMillis(), "cancellation", "operation " + command.operationId());
        return CommandOutcome.accepted();
    }

    private CommandOutcome register(TaskCommand.RegisterWorker command) {
        Worker worker = workers.computeIfAbsent(command.workerId(), Worker::new);
        if (command.incarnation() < worker.incarnation) {
            return stale("worker \"" + worker.id() + "\" has registered with a later incarnation");
        }
        if (command.incarnation() > worker.incarnation) {
            releaseAbsent(worker, command);
        }
        book.setIdle(worker, command.idleMilliwatts());
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
                book.release(task, worker);
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
                task.explain(timeMillis, "to leave", "worker offers less", "offers " + worker.capacity);
                book.touch(task);
            }
        }
    }

    private CommandOutcome start(TaskCommand.Start command) {
        Task task = tasks.get(command.jobId());
        Worker worker = workers.get(command.workerId());
        if (task == null || !task.phase.isWaiting()) {
            return stale("job \"" + command.jobId() + "\" does not wait for a start");
        }
        if (worker == null || !worker.live || worker.quarantinedUntilMillis > command.timeMillis()) {
            return stale("worker \"" + command.workerId() + "\" takes no task");
        }
        if (!command.commitment().fitsIn(worker.free())) {
            return stale("worker \"" + worker.id() + "\" has only " + worker.free() + " left");
        }
        long milliwatts = Task.scaled(command.powerMilliwatts(), command.throttlePercent());
        if (book.committedMilliwatts() + milliwatts > command.capMilliwatts()) {
            return stale("the power cap leaves no room for job \"" + command.jobId() + "\"");
        }
        task.epoch++;
        task.commitment = command.commitment();
        task.powerMilliwatts = command.powerMilliwatts();
        task.committedPercent = command.throttlePercent();
        task.throttlePercent = command.throttlePercent();
        task.throttleVersion++;
        task.startedMillis = command.timeMillis();
        task.resumedFrom = task.checkpoint;
        task.enter(task.epoch == 1 ? TaskPhase.STARTING : TaskPhase.RESUMING, command.timeMillis());
        book.commit(task, worker);
        task.explain(
                command.timeMillis(),
                "start on " + worker.id() + ", epoch " + task.epoch + ", checkpoint " + task.checkpoint,
                command.rule(),
                command.figures());
        return CommandOutcome.accepted();
    }

    private CommandOutcome recordProgress(TaskCommand.RecordProgress command) {
        Task task = tasks.get(command.jobId());
        if (task == null || !task.phase.isPlaced() || task.epoch != command.epoch()) {
            return staleEpoch(command.jobId(), command.epoch());
        }
        if (task.phase == TaskPhase.STARTING || task.phase == TaskPhase.RESUMING) {
            task.enter(TaskPhase.RUNNING, command.timeMillis());
            task.explain(command.timeMillis(), "running on " + task.workerId(), "report", "epoch " + task.epoch);
            book.touch(task);
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

    private CommandOutcome recordEnd(TaskCommand.RecordEnd command) {
        Task task = tasks.get(command.jobId());
        Worker worker = task == null ? null : task.worker;
        if (task == null || worker == null || task.epoch != command.epoch()) {
            return staleEpoch(command.jobId(), command.epoch());
        }
        TaskPhase before = task.phase;
        recordCheckpoint(task, command.checkpoint(), command.timeMillis());
        book.release(task, worker);
        if (command.reason() == EndReason.COMPLETED) {
            FailureBlame.completed(task, worker, workers, book);
            finish(task, TaskPhase.DONE, command.timeMillis(), "report", "completed on " + worker.id());
            return CommandOutcome.accepted();
        }
        if (before == TaskPhase.CANCELLING) {
            finish(task, TaskPhase.CANCELLED, command.timeMillis(), "cancellation", "stopped on " + worker.id());
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
        FailureBlame.failed(task, worker, workers);
        book.touch(worker);
        task.failedOn.add(worker.id());
        if (task.failedOn.size() >= FAILURES_TO_GIVE_UP) {
            finish(
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

    private CommandOutcome loseWorker(TaskCommand.LoseWorker command) {
        Worker worker = workers.get(command.workerId());
        if (worker == null || !worker.live || worker.session != command.session()) {
            return stale("session " + command.session() + " of worker \"" + command.workerId() + "\" is not open");
        }
        worker.live = false;
        worker.explain(command.timeMillis(), "lost", "lease and clock-drift bound passed", "session " + worker.session);
        book.touch(worker);
        for (Task task : List.copyOf(worker.tasks.values())) {
            book.release(task, worker);
            lose(task, command.timeMillis(), "worker lost", "session " + worker.session + " of " + worker.id());
        }
        return CommandOutcome.accepted();
    }

    private void lose(Task task, long timeMillis, String rule, String figures) {
        if (task.phase == TaskPhase.CANCELLING) {
            finish(task, TaskPhase.CANCELLED, timeMillis, rule, figures);
            return;
        }
        task.losses++;
        task.enter(TaskPhase.EVICTED, timeMillis);
        task.explain(timeMillis, "waits to resume from checkpoint " + task.checkpoint, rule, figures);
    }

    private CommandOutcome throttle(TaskCommand.Throttle command) {
        Task task = tasks.get(command.jobId());
        Worker worker = task == null ? null : task.worker;
        if (task == null || worker == null || task.epoch != command.epoch()) {
            return staleEpoch(command.jobId(), command.epoch());
        }
        if (command.throttlePercent() < 1 || command.throttlePercent() > Task.FULL_SPEED_PERCENT) {
            return CommandOutcome.refused(ErrorCode.INVALID_ARGUMENT, "throttle must be from 1 to 100 percent");
        }
        if (command.throttlePercent() > task.committedPercent) {
            long more = Task.scaled(task.powerMilliwatts, command.throttlePercent()) - task.committedMilliwatts();
            if (book.committedMilliwatts() + more > command.capMilliwatts()) {
                return stale("the power cap leaves no room to speed up job \"" + command.jobId() + "\"");
            }
            book.setCommittedPercent(task, worker, command.throttlePercent());
        }
        task.throttlePercent = command.throttlePercent();
        task.throttleVersion++;
        task.explain(
                command.timeMillis(),
                "speed " + command.throttlePercent() + "% asked for",
                command.rule(),
                command.figures());
        book.touch(task);
        book.touch(worker);
        return CommandOutcome.accepted();
    }

    private CommandOutcome confirmThrottle(TaskCommand.ConfirmThrottle command) {
        Task task = tasks.get(command.jobId());
        Worker worker = task == null ? null : task.worker;
        if (task == null
                || worker == null
                || task.epoch != command.epoch()
                || task.throttleVersion != command.throttleVersion()) {
            return staleEpoch(command.jobId(), command.epoch());
        }
        if (task.throttlePercent < task.committedPercent) {
            book.setCommittedPercent(task, worker, task.throttlePercent);
        }
        return CommandOutcome.accepted();
    }

    private CommandOutcome evict(TaskCommand.Evict command) {
        Task task = tasks.get(command.jobId());
        if (task == null || !task.phase.isPlaced() || task.epoch != command.epoch()) {
            return staleEpoch(command.jobId(), command.epoch());
        }
        if (task.phase == TaskPhase.CANCELLING || task.phase == TaskPhase.CHECKPOINTING) {
            return CommandOutcome.accepted();
        }
        task.enter(TaskPhase.CHECKPOINTING, command.timeMillis());
        task.explain(command.timeMillis(), "to be evicted", command.rule(), command.figures());
        book.touch(task);
        return CommandOutcome.accepted();
    }

    private CommandOutcome resize(TaskCommand.Resize command) {
        Task task = tasks.get(command.jobId());
        Worker worker = task == null ? null : task.worker;
        if (task == null || worker == null || task.epoch != command.epoch()) {
            return staleEpoch(command.jobId(), command.epoch());
        }
        Resources committed = worker.committed.minus(task.commitment).plus(command.commitment());
        if (!committed.fitsIn(worker.capacity.max(worker.committed))) {
            return stale("worker \"" + worker.id() + "\" has no room for job \"" + command.jobId() + "\" to grow");
        }
        book.resize(task, worker, command.commitment(), command.powerMilliwatts());
        task.explain(command.timeMillis(), "commitment corrected", command.rule(), command.figures());
        return CommandOutcome.accepted();
    }

    private CommandOutcome quarantine(TaskCommand.Quarantine command) {
        Worker worker = workers.get(command.workerId());
        if (worker == null) {
            return stale("worker \"" + command.workerId() + "\" is not known");
        }
        worker.quarantinedUntilMillis = command.untilMillis();
        if (command.untilMillis() > 0) {
            worker.quarantines++;
        }
        FailureBlame.quarantined(worker, tasks);
        worker.explain(
                command.timeMillis(), "quarantined until " + command.untilMillis(), command.rule(), command.figures());
        book.touch(worker);
        return CommandOutcome.accepted();
    }

    private CommandOutcome markUnrunnable(TaskCommand.MarkUnrunnable command) {
        Task task = tasks.get(command.jobId());
        if (task == null || !task.phase.isWaiting()) {
            return stale("job \"" + command.jobId() + "\" does not wait for a start");
        }
        task.enter(TaskPhase.UNRUNNABLE, command.timeMillis());
        task.explain(
                command.timeMillis(),
                "unrunnable",
                command.reason(),
                "declared " + task.job().declared());
        book.touch(task);
        return CommandOutcome.accepted();
    }

    private CommandOutcome revive(TaskCommand.Revive command) {
        Task task = tasks.get(command.jobId());
        if (task == null || task.phase != TaskPhase.UNRUNNABLE) {
            return stale("job \"" + command.jobId() + "\" is not unrunnable");
        }
        task.enter(task.epoch == 0 ? TaskPhase.PENDING : TaskPhase.EVICTED, command.timeMillis());
        task.explain(command.timeMillis(), "waits again", command.reason(), "");
        book.touch(task);
        return CommandOutcome.accepted();
    }

    private void finish(Task task, TaskPhase phase, long timeMillis, String rule, String figures) {
        task.enter(phase, timeMillis);
        task.explain(timeMillis, phase.text(), rule, figures);
        book.touch(task);
        for (String forgotten : finished.add(task.job().jobId())) {
            tasks.remove(forgotten);
        }
    }

    private static CommandOutcome stale(String message) {
        return CommandOutcome.refused(ErrorCode.REVISION_CONFLICT, message);
    }

    private static CommandOutcome staleEpoch(String jobId, long epoch) {
        return stale("epoch " + epoch + " of job \"" + jobId + "\" is not the present one");
    }
}
